// Package runner parses a program's command line, runs the named command and maps its error to an exit code.
package runner
