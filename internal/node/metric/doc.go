// Package metric holds the Prometheus metrics of one VM.
package metric
