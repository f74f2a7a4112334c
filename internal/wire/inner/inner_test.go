package inner_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"kumquatreel.example/kumquatreel/internal/wire/inner"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

// FuzzMessages guards against messages that are accepted from a peer but cannot be encoded and decoded again.
func FuzzMessages(f *testing.F) {
	for _, v := range []any{inner.Exchange{}, inner.Parts{}, inner.PartReply{}, inner.Cancel{}, inner.Ticketed{}} {
		raw, err := json.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		assertRoundTrip[inner.Exchange](t, raw)
		assertRoundTrip[inner.Parts](t, raw)
		assertRoundTrip[inner.PartReply](t, raw)
		assertRoundTrip[inner.Ticketed](t, raw)
	})
}

func assertRoundTrip[T any](t *testing.T, raw []byte) {
	t.Helper()
	var first, second T
	if netio.ReadJSON(bytes.NewReader(raw), inner.MaxMessageBytes, &first) != nil {
		return
	}
	again, err := json.Marshal(first)
	if err != nil {
		t.Fatalf("encode an accepted message: %v", err)
	}
	if err := netio.ReadJSON(bytes.NewReader(again), inner.MaxMessageBytes, &second); err != nil {
		t.Errorf("decode a message that was accepted and encoded again: %v", err)
	}
}
