// Package timing learns how long the parts of one kind of request usually take.
package timing
