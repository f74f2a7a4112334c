package topk_test

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"testing"

	"kumquatreel.example/kumquatreel/internal/tier/topk"
)

func record(n uint64) []byte {
	return binary.BigEndian.AppendUint64(make([]byte, topk.RecordBytes-8), n)
}

func records(ns ...uint64) []byte {
	var out []byte
	for _, n := range ns {
		out = append(out, record(n)...)
	}
	return out
}

func assertRecords(t *testing.T, m *topk.Merger, want ...uint64) {
	t.Helper()
	if !bytes.Equal(m.Bytes(), records(want...)) {
		t.Errorf("records are %x, want %x", m.Bytes(), records(want...))
	}
}

func TestMerger(t *testing.T) {
	t.Run("keeps the greatest in order", func(t *testing.T) {
		m := topk.New(3)
		m.Add(records(5, 1, 9))
		m.Add(records(7, 2))
		assertRecords(t, m, 9, 7, 5)
	})
	t.Run("keeps all where more are wanted than there are, and none where none are", func(t *testing.T) {
		for k, want := range map[int][]uint64{1 << 40: {9, 5, 1}, 0: nil, -1: nil} {
			m := topk.New(k)
			m.Add(records(5, 1, 9))
			assertRecords(t, m, want...)
		}
	})
	t.Run("keeps equal records", func(t *testing.T) {
		m := topk.New(3)
		m.Add(records(4, 4))
		m.Add(records(4, 1))
		assertRecords(t, m, 4, 4, 4)
	})
	t.Run("passes over a rest", func(t *testing.T) {
		m := topk.New(3)
		m.Add(append(records(2), 0xff, 0xff))
		assertRecords(t, m, 2)
	})
	t.Run("of nothing is empty", func(t *testing.T) {
		m := topk.New(0)
		m.Add(records(2))
		assertRecords(t, m)
	})
	t.Run("agrees with a sort of all records", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 1))
		for range 100 {
			m := topk.New(1 + rng.IntN(12))
			var all []uint64
			for range rng.IntN(40) {
				n := rng.Uint64N(30)
				all = append(all, n)
				m.Add(record(n))
			}
			slices.SortFunc(all, func(a, b uint64) int { return int(b) - int(a) })
			assertRecords(t, m, all[:min(len(all), len(m.Bytes())/topk.RecordBytes)]...)
		}
	})
}
