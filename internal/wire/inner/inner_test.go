package inner_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"kumquatreel.example/kumquatreel/internal/wire/inner"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

// FuzzMessages checks that what is taken from a peer survives another round.
func FuzzMessages(f *testing.F) {
	for _, v := range []any{inner.Exchange{}, inner.Parts{}, inner.PartReply{}, inner.Cancel{}, inner.Ticketed{}} {
		raw, err := json.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		assertRound[inner.Exchange](t, raw)
		assertRound[inner.Parts](t, raw)
		assertRound[inner.PartReply](t, raw)
		assertRound[inner.Ticketed](t, raw)
	})
}

func assertRound[T any](t *testing.T, raw []byte) {
	t.Helper()
	var first, second T
	if netio.ReadJSON(bytes.NewReader(raw), inner.MaxMessageBytes, &first) != nil {
		return
	}
	again, err := json.Marshal(first)
	if err != nil {
		t.Fatalf("a message that was taken cannot be sent: %v", err)
	}
	if err := netio.ReadJSON(bytes.NewReader(again), inner.MaxMessageBytes, &second); err != nil {
		t.Errorf("a message that was sent is not taken: %v", err)
	}
}
