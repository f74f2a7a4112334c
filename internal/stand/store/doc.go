// Package store stands in for the platform: documents that can be read and
// watched, with revisions, a count of calls, and switches for outages and
// staleness.
package store
