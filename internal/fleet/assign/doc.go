// Package assign decides which addresses callers should use.
package assign
