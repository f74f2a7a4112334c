// Package setup reads and checks the settings file of an edge process, which dispatches requests directly to backend servers.
package setup
