// Package events tells what happened to one request from the log lines of several VMs.
package events
