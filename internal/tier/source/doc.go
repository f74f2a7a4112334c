// Package source describes a platform to the edge: a store that can be read
// and watched, and the events that its items stand for.
package source
