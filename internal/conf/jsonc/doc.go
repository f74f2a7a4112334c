// Package jsonc reads JSON with comments strictly and names faults by path and line.
package jsonc
