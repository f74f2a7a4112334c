// Package fairq orders waiting work fairly between teams by start-time fair queueing.
package fairq
