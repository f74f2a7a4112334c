// Package runner runs the commands of a program and turns errors into exit codes.
package runner
