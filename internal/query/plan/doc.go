// Package plan turns a request into the parts that answer it from one snapshot.
package plan
