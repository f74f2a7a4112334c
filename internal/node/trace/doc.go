// Package trace keeps what happened to recent requests, so that an operator can have one explained by its id.
package trace
