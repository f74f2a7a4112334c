// Package load sends requests at a fixed rate and sums up what came back.
package load
