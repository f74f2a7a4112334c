package window

import "time"

// Most returns the highest number of events in any window of the given length. The times are in ascending order, and sub returns the time
// from the second of its arguments to the first.
func Most[T any](sorted []T, length time.Duration, sub func(T, T) time.Duration) int {
	most, from := 0, 0
	for i, at := range sorted {
		for sub(at, sorted[from]) >= length {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}
