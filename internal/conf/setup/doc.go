// Package setup holds the checked settings of an edge process, which dispatches directly to backend servers.
package setup
