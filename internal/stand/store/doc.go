// Package store provides a stand-in for the platform. It holds documents with
// revisions that can be read and watched over HTTP, counts the calls, and can
// simulate outages and stale reads.
package store
