// Package public defines the HTTP interface between client programs and the system: its paths, headers and JSON messages.
package public
