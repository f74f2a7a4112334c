// Package metric holds the metrics of one VM.
package metric
