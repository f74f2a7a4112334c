// Package sets holds small generic value types, so far a set.
package sets
