package link

import (
	"io"
	"sync/atomic"
)

const (
	// minPieceBytes and maxPieceBytes bound the pieces in which a body is read.
	minPieceBytes = 4 << 10
	maxPieceBytes = 64 << 10
	// maxIncompleteBytes bounds the bytes of incomplete bodies on all connections.
	maxIncompleteBytes = 24 << 20
)

// byteBudget bounds the bytes of incomplete answers on all connections, since servers may send bytes without end on many at once.
// The zero value is ready to use.
type byteBudget struct {
	held atomic.Int64
}

// take counts n bytes as held and reports whether all held bytes are within the budget.
func (b *byteBudget) take(n int64) bool { return b.held.Add(n) <= maxIncompleteBytes }

func (b *byteBudget) release(n int64) { b.held.Add(-n) }

// limitedReader fails with errTooLarge once the bytes that are left have been read.
type limitedReader struct {
	r    io.Reader
	left int64
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errTooLarge
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}
