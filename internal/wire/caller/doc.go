// Package caller holds the messages between callers and the system.
package caller
