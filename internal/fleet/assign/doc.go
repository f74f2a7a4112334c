// Package assign selects the VM addresses that the clients of a team should use.
package assign
