// Package client is a caller of the system: it asks the directory which
// addresses to use, keeps the answer for as long as it was told, and repeats
// only what certainly did not run.
package client
