package child

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// fullAfter is how long a pipe takes nothing more until it counts as full.
const fullAfter = 50 * time.Millisecond

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=Output -transform=title-lower -output=enums.go

// Output is what has become of the reader of a stream.
type Output int

// The kinds.
const (
	// Gone is a pipe whose reader has closed it.
	Gone Output = iota
	// Stuck is a pipe that is full and whose reader doesn't read.
	Stuck
	// Full is a device without room.
	Full
)

// OpenOutput opens a stream to write to. The returned function closes it, and its reader if there is one.
func OpenOutput(o Output) (*os.File, func(), error) {
	if o == Full {
		f, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
		if err != nil {
			return nil, nil, errors.Errorf("open output: %w", err)
		}
		return f, func() { _ = f.Close() }, nil
	}
	r, w, err := os.Pipe()
	if err != nil {
		return nil, nil, errors.Errorf("open output: %w", err)
	}
	if o == Gone {
		return w, func() { _ = w.Close() }, r.Close()
	}
	if err := fill(w); err != nil {
		return nil, nil, errors.Errorf("open output: fill the pipe: %w", err)
	}
	return w, func() {
		_ = w.Close()
		_ = r.Close()
	}, nil
}

// fill writes to a pipe until it takes nothing more.
func fill(w *os.File) error {
	line := []byte("\n")
	for {
		if err := w.SetWriteDeadline(time.Now().Add(fullAfter)); err != nil {
			return err
		}
		if _, err := w.Write(line); errors.Is(err, os.ErrDeadlineExceeded) {
			return w.SetWriteDeadline(time.Time{})
		} else if err != nil {
			return err
		}
	}
}
