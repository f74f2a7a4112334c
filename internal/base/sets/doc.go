// Package sets provides a generic set.
package sets
