// Package direct decides which addresses callers should use.
package direct
