package sink

import (
	"bytes"
	"io"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxQueued and maxQueuedBytes bound what waits to be written.
	maxQueued, maxQueuedBytes = 4096, 1 << 20
	// closeTimeout is how long the last lines may take to be written.
	closeTimeout = 100 * time.Millisecond
)

// Sink is a writer of whole lines that never blocks and never fails. It is safe for concurrent use.
type Sink struct {
	w      io.Writer
	notice func(lost int64) []byte
	queue  chan []byte
	// queued counts the bytes in the queue, lost the lines that were dropped.
	queued, lost atomic.Int64
	// torn says that the last line that was written lacks its end. reported is the number of lost lines that a notice has named.
	torn     bool
	reported int64
}

// New returns a Sink that writes to w, and a function that waits a short time for the last lines. notice formats the line that says how many lines
// were lost; it may be nil.
func New(w io.Writer, notice func(lost int64) []byte) (*Sink, func()) {
	s := &Sink{w: w, notice: notice, queue: make(chan []byte, maxQueued)}
	stop, done := make(chan struct{}), make(chan struct{})
	go s.run(stop, done)
	return s, sync.OnceFunc(func() {
		close(stop)
		timeout := time.NewTimer(closeTimeout)
		defer timeout.Stop()
		select {
		case <-done:
		case <-timeout.C:
		}
	})
}

// Open returns a Sink for a standard stream of a process that is to outlive the reader of the stream, as New does. The process ignores SIGPIPE from
// then on.
func Open(w io.Writer, notice func(lost int64) []byte) (*Sink, func()) {
	signal.Ignore(syscall.SIGPIPE)
	return New(w, notice)
}

// Write implements io.Writer. It always succeeds.
func (s *Sink) Write(p []byte) (int, error) {
	if s.queued.Add(int64(len(p))) > maxQueuedBytes {
		s.drop(p)
		return len(p), nil
	}
	select {
	case s.queue <- bytes.Clone(p):
	default:
		s.drop(p)
	}
	return len(p), nil
}

// drop counts lines that were not queued as lost.
func (s *Sink) drop(p []byte) {
	s.queued.Add(-int64(len(p)))
	s.lost.Add(lines(p))
}

// Lost returns the number of lines that were lost.
func (s *Sink) Lost() int64 { return s.lost.Load() }

func (s *Sink) run(stop, done chan struct{}) {
	defer close(done)
	for {
		select {
		case p := <-s.queue:
			s.emit(p)
		case <-stop:
			for len(s.queue) > 0 {
				s.emit(<-s.queue)
			}
			return
		}
	}
}

// emit writes queued lines, after a notice if lines have been lost since the last one.
func (s *Sink) emit(p []byte) {
	s.queued.Add(-int64(len(p)))
	if lost := s.lost.Load(); lost > s.reported && s.notice != nil {
		if rest := s.write(s.notice(lost - s.reported)); len(rest) > 0 {
			s.lost.Add(lines(p))
			return
		}
		s.reported = lost
	}
	s.lost.Add(lines(s.write(p)))
}

// write writes lines and returns what was not written of them. The rest of a line that was cut is not written later.
func (s *Sink) write(p []byte) (rest []byte) {
	if s.torn {
		p = append([]byte{'\n'}, p...)
	}
	n, err := s.w.Write(p)
	if n > 0 {
		s.torn = p[n-1] != '\n'
	}
	if err != nil {
		return p[n:]
	}
	return nil
}

// lines returns the number of lines that end in p.
func lines(p []byte) int64 { return int64(bytes.Count(p, []byte{'\n'})) }
