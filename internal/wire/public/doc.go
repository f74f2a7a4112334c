// Package public holds the messages between callers and the system.
package public
