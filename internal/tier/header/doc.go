// Package header defines the names of the HTTP headers, paths and fields that
// clients and backend servers use, and parses the values of such headers.
//
// Package platform fills in Names, so that the edge does not depend on the
// spelling of one platform.
package header
