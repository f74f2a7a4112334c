// Package jsonc decodes JSON with comments, rejects unknown fields and reports each fault with its path and line.
package jsonc
