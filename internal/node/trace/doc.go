// Package trace keeps the steps of recent requests in memory, so that an
// operator can look a request up by its ID.
package trace
