// Package header names what callers and backend servers say in headers, so that
// the edge does not depend on one platform's spelling.
package header
