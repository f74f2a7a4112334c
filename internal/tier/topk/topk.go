package topk

import (
	"bytes"
	"container/heap"
	"slices"
)

// RecordBytes is the size of a record.
const RecordBytes = 16

type record [RecordBytes]byte

// Merger keeps the greatest records of the parts added to it.
type Merger struct {
	most int
	heap records
}

// roomMost is for how many records there is room at first, however many are wanted.
const roomMost = 256

// New returns a merger that keeps at most so many records.
func New(most int) *Merger {
	most = max(0, most)
	return &Merger{most: most, heap: make(records, 0, min(most, roomMost))}
}

// Add takes a part; a rest that is shorter than a record is none.
func (m *Merger) Add(part []byte) {
	for ; len(part) >= RecordBytes; part = part[RecordBytes:] {
		r := record(part[:RecordBytes])
		switch {
		case len(m.heap) < m.most:
			heap.Push(&m.heap, r)
		case m.most > 0 && bytes.Compare(r[:], m.heap[0][:]) > 0:
			m.heap[0] = r
			heap.Fix(&m.heap, 0)
		}
	}
}

// Bytes returns the records, greatest first.
func (m *Merger) Bytes() []byte {
	sorted := slices.Clone(m.heap)
	slices.SortFunc(sorted, func(a, b record) int { return bytes.Compare(b[:], a[:]) })
	out := make([]byte, 0, RecordBytes*len(sorted))
	for i := range sorted {
		out = append(out, sorted[i][:]...)
	}
	return out
}

// records is a heap with the least record at its top.
type records []record

func (r records) Len() int           { return len(r) }
func (r records) Less(i, j int) bool { return bytes.Compare(r[i][:], r[j][:]) < 0 }
func (r records) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }

// Push appends a record.
func (r *records) Push(x any) {
	if v, ok := x.(record); ok {
		*r = append(*r, v)
	}
}

// Pop removes the last record.
func (r *records) Pop() any {
	old := *r
	last := old[len(old)-1]
	*r = old[:len(old)-1]
	return last
}
