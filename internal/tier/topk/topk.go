package topk

import (
	"bytes"
	"container/heap"
	"slices"
)

// RecordBytes is the size of a record in bytes.
const RecordBytes = 16

type record [RecordBytes]byte

// Merger keeps the k greatest records of the parts added to it, in byte order. It is not safe for concurrent use.
type Merger struct {
	k    int
	heap records
}

// maxInitialCap bounds the number of records for which New allocates memory, since k comes from a setting and may be large.
const maxInitialCap = 256

// New returns a merger that keeps at most k records; a negative k counts as 0.
func New(k int) *Merger {
	k = max(0, k)
	return &Merger{k: k, heap: make(records, 0, min(k, maxInitialCap))}
}

// Add adds the records of a part. Trailing bytes that are fewer than a record are ignored.
func (m *Merger) Add(part []byte) {
	for ; len(part) >= RecordBytes; part = part[RecordBytes:] {
		r := record(part[:RecordBytes])
		switch {
		case len(m.heap) < m.k:
			heap.Push(&m.heap, r)
		case m.k > 0 && bytes.Compare(r[:], m.heap[0][:]) > 0:
			m.heap[0] = r
			heap.Fix(&m.heap, 0)
		}
	}
}

// Bytes returns the concatenated records, greatest first.
func (m *Merger) Bytes() []byte {
	sorted := slices.Clone(m.heap)
	slices.SortFunc(sorted, func(a, b record) int { return bytes.Compare(b[:], a[:]) })
	out := make([]byte, 0, RecordBytes*len(sorted))
	for i := range sorted {
		out = append(out, sorted[i][:]...)
	}
	return out
}

// records is a min-heap of records; it implements heap.Interface.
type records []record

func (r records) Len() int           { return len(r) }
func (r records) Less(i, j int) bool { return bytes.Compare(r[i][:], r[j][:]) < 0 }
func (r records) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }

// Push appends a record, as heap.Interface requires.
func (r *records) Push(x any) {
	if v, ok := x.(record); ok {
		*r = append(*r, v)
	}
}

// Pop removes and returns the last record, as heap.Interface requires.
func (r *records) Pop() any {
	old := *r
	last := old[len(old)-1]
	*r = old[:len(old)-1]
	return last
}
