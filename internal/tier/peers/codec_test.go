package peers_test

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/limit/quota"
	"kumquatreel.example/kumquatreel/internal/tier/peers"
)

func newCodec(t testing.TB) *peers.Codec {
	t.Helper()
	c, err := peers.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func digest(i int) peers.Digest {
	return peers.Digest{
		VM: ident.VM(fmt.Sprintf("front-north-%d", i)), Address: fmt.Sprintf("10.2.0.%d", i), Domain: "north", Region: "here",
		Boot: 1764834000000000 + int64(i)*7919, Serial: int64(100 + 3*i), Phase: peers.PhaseReady, CPUShare: 0.2, Revision: 4711,
	}
}

// sampleMessage returns a heartbeat with the reports of some teams, or a reply with relayed digests.
func sampleMessage(teams, relays int) peers.Message {
	m := peers.Message{From: digest(0)}
	for i := range teams {
		if m.From.Teams == nil {
			m.From.Teams = make(map[ident.Team]quota.Report)
		}
		m.From.Teams[ident.Team(fmt.Sprintf("te%dam%d", (i*37)%100, i))] = quota.Report{Offered: int64(i * 13 % 89), Admitted: int64(i * 11 % 83), Level: float64(i % 17)}
	}
	for i := range relays {
		m.Relayed = append(m.Relayed, peers.Relay{Digest: digest(i + 1), AgeMs: int64(i * 31 % 400)})
	}
	return m
}

func TestCodec(t *testing.T) {
	c := newCodec(t)
	for name, m := range map[string]peers.Message{"empty": {}, "short": sampleMessage(0, 0), "long": sampleMessage(80, 11)} {
		t.Run("gives back a message that is "+name, func(t *testing.T) {
			raw, err := c.Encode(m)
			if err != nil {
				t.Fatal(err)
			}
			got, err := c.Decode(raw)
			if err != nil || !reflect.DeepEqual(got, m) {
				t.Errorf("got %+v, error %v", got, err)
			}
		})
	}
	t.Run("refuses what is no message", func(t *testing.T) {
		for _, raw := range [][]byte{nil, []byte("{}"), bytes.Repeat([]byte{0xff}, 40)} {
			if _, err := c.Decode(raw); err == nil {
				t.Errorf("%q was decoded as a message, want an error", raw)
			}
		}
	})
	t.Run("refuses a message that grows beyond bounds", func(t *testing.T) {
		var b bytes.Buffer
		w, err := flate.NewWriter(&b, flate.BestCompression)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := w.Write(bytes.Repeat([]byte(" "), 1<<20)); err != nil {
			t.Fatal(err)
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Decode(b.Bytes()); err == nil {
			t.Error("a message of 1 MiB was decoded, want an error")
		}
	})
}

// Guards against large heartbeats, since traffic between failure domains is costly: long messages compress to half of their
// JSON text or less.
func TestDatagramSize(t *testing.T) {
	for _, c := range []struct{ teams, relays int }{{0, 11}, {80, 0}} {
		t.Run(fmt.Sprintf("%d teams, %d relays", c.teams, c.relays), func(t *testing.T) {
			m := sampleMessage(c.teams, c.relays)
			text, err := json.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			raw, err := newCodec(t).Encode(m)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d bytes of JSON are compressed to %d", len(text), len(raw))
			if 2*len(raw) > len(text) {
				t.Errorf("%d bytes of JSON are compressed to %d, want at most half", len(text), len(raw))
			}
		})
	}
}

func BenchmarkCodec(b *testing.B) {
	c := newCodec(b)
	m := sampleMessage(80, 0)
	raw, err := c.Encode(m)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			_, _ = c.Encode(m)
		}
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			_, _ = c.Decode(raw)
		}
	})
}

// A datagram may hold arbitrary bytes. If it decodes to a message, encoding and decoding that message again changes nothing.
func FuzzDecode(f *testing.F) {
	c := newCodec(f)
	for _, m := range []peers.Message{{}, sampleMessage(0, 0), sampleMessage(3, 2)} {
		raw, err := c.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := c.Decode(raw)
		if err != nil {
			return
		}
		again, err := c.Encode(m)
		if err != nil {
			t.Fatalf("encode a decoded message: %v", err)
		}
		same, err := c.Decode(again)
		if err != nil {
			t.Fatalf("decode an encoded message: %v", err)
		}
		if twice, err := c.Encode(same); err != nil || !bytes.Equal(twice, again) {
			t.Fatalf("message %+v became %+v after another round trip (%v)", m, same, err)
		}
	})
}
