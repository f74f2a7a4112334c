// Package source is the interface between package edge and a platform: a store
// that can be read and watched, and the events that its items decode to. Each
// platform implements Store and Decode.
package source
