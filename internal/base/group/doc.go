// Package group holds small generic value types, so far a set.
package group
