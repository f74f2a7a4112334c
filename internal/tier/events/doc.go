// Package events parses the log lines of several VMs and finds those that explain what happened to one request.
//
// The command kumquatreel explain prints the lines that Explain selects, and
// package chart evaluates the fields of parsed lines.
package events
