package wire_test

import (
	"testing"

	"kumquatreel.example/kumquatreel/internal/tier/wire"
)

func TestParseLoad(t *testing.T) {
	for _, c := range []struct {
		text string
		want wire.Load
		ok   bool
	}{
		{"3,0,8", wire.Load{Running: 3, Slots: 8}, true},
		{" 3, 1 ,8 ", wire.Load{Running: 3, Waiting: 1, Slots: 8}, true},
		{"", wire.Load{}, false},
		{"3,0", wire.Load{}, false},
		{"3,-1,8", wire.Load{}, false},
		{"3,x,8", wire.Load{}, false},
	} {
		t.Run(c.text, func(t *testing.T) {
			if got, ok := wire.ParseLoad(c.text); got != c.want || ok != c.ok {
				t.Errorf("load is %v, %v, want %v, %v", got, ok, c.want, c.ok)
			}
		})
	}
}
