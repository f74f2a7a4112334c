package link

import (
	"cmp"
	"io"
	"sync/atomic"
)

const (
	// minPieceBytes and maxPieceBytes bound the pieces in which a body is read.
	minPieceBytes = 4 << 10
	maxPieceBytes = 64 << 10
	// maxHeldBytes bounds the bytes of all answers from their arrival until their release, maxIncompleteBytes those of the incomplete bodies
	// among them, so that complete answers have room beside bytes without end.
	maxHeldBytes       = 32 << 20
	maxIncompleteBytes = 24 << 20
	// maxHeldPart and maxIncompletePart bound both to a part of the memory of the VM.
	maxHeldPart, maxIncompletePart = 6, 8
)

// byteBudget bounds the bytes of the answers on all connections: servers may send bytes without end on many at once, and complete answers wait for
// other parts and for slow clients. The zero value is ready to use.
type byteBudget struct {
	held, incomplete atomic.Int64
	// maxHeld and maxIncomplete replace the bounds if they are above 0.
	maxHeld, maxIncomplete int64
}

// take counts n bytes of an incomplete answer and reports whether all are within the budget.
func (b *byteBudget) take(n int64) bool {
	held, incomplete := b.held.Add(n), b.incomplete.Add(n)
	return held <= cmp.Or(b.maxHeld, maxHeldBytes) && incomplete <= cmp.Or(b.maxIncomplete, maxIncompleteBytes)
}

// bound lowers the bounds to a part of the memory of the VM.
func (b *byteBudget) bound(memory int64) {
	b.maxHeld, b.maxIncomplete = min(maxHeldBytes, memory/maxHeldPart), min(maxIncompleteBytes, memory/maxIncompletePart)
}

// complete records that an answer of n bytes is complete. It is held until it is released.
func (b *byteBudget) complete(n int64) { b.incomplete.Add(-n) }

// release records that n bytes of a complete answer are no longer held.
func (b *byteBudget) release(n int64) { b.held.Add(-n) }

// drop records that n bytes of an incomplete answer are no longer held.
func (b *byteBudget) drop(n int64) {
	b.complete(n)
	b.release(n)
}

// holding is the memory of one answer. The zero value holds nothing.
type holding struct {
	budget *byteBudget
	bytes  atomic.Int64
}

// release returns the memory to the budget, once.
func (h *holding) release() {
	if n := h.bytes.Swap(0); n > 0 {
		h.budget.release(n)
	}
}

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
