// Package entry serves callers: it checks keys and rates, plans a request, runs
// its fan-out over the owners and merges the answer.
package entry
