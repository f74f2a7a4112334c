package setup_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/conf/jsonc"
	"kumquatreel.example/kumquatreel/internal/conf/setup"
)

const validSettings = `// A VM.
{
  "name": "vm0", "domain": "north", "region": "here", "address": "127.0.0.1",
  "callers": "127.0.0.1:1", "ready": "127.0.0.1:2", "peers": "127.0.0.1:3", "directory": "127.0.0.1:4",
  "metrics": "127.0.0.1:5", "gossipPort": 6, "seeds": ["127.0.0.1:3"], "store": "127.0.0.1:7",
}`

func assertFault(t *testing.T, text string, want ...string) {
	t.Helper()
	_, err := setup.Parse([]byte(text))
	var faults jsonc.FaultErrors
	if !errors.As(err, &faults) {
		t.Fatalf("settings were accepted, want faults (%v)", err)
	}
	if len(faults) != len(want) {
		t.Errorf("got faults\n%v\nwant %v", faults, want)
	}
	for _, w := range want {
		if !strings.Contains(faults.Error(), w) {
			t.Errorf("faults\n%v\ndo not mention %s", faults, w)
		}
	}
}

// TestParse guards against omitted fields without a default, and against faults that are missed or reported without their place.
func TestParse(t *testing.T) {
	t.Run("fills in what is left out", func(t *testing.T) {
		s, err := setup.Parse([]byte(validSettings))
		if err != nil {
			t.Fatal(err)
		}
		if s.GracePeriod() != 6*time.Second || s.MaxDirectoryTTL() != 5*time.Second || s.CPUShare() != 1 || s.LogLevel() != "info" {
			t.Errorf("got settings %+v, want the defaults", s)
		}
	})
	t.Run("tells no bound from none named", func(t *testing.T) {
		for text, want := range map[string]int64{"": 4 << 20, `"serverHoldKilobytes": 0,`: 0, `"serverHoldKilobytes": 7,`: 7 << 10} {
			s, err := setup.Parse([]byte(strings.Replace(validSettings, `"store"`, text+`"store"`, 1)))
			if err != nil || s.ServerHold() != want {
				t.Errorf("%s: %d bytes, error %v, want %d", text, s.ServerHold(), err, want)
			}
		}
		assertFault(t, strings.Replace(validSettings, `"store"`, `"serverHoldKilobytes": -1, "store"`, 1), "/serverHoldKilobytes")
	})
	t.Run("names each fault with its line", func(t *testing.T) {
		text := strings.Replace(validSettings, `"gossipPort": 6`, `"gossipPort": 0`, 1)
		text = strings.Replace(text, `"127.0.0.1:1"`, `"here:1"`, 1)
		assertFault(t, text, "line 4: /callers", "line 5: /gossipPort")
	})
	t.Run("names a seed that is no address", func(t *testing.T) {
		assertFault(t, strings.Replace(validSettings, `["127.0.0.1:3"]`, `["127.0.0.1:3", "x"]`, 1), "/seeds/1")
	})
	t.Run("names a field that it does not know", func(t *testing.T) {
		assertFault(t, strings.Replace(validSettings, `"store"`, `"shop"`, 1), `unknown field "shop"`)
	})
	t.Run("names a log level that there is none of", func(t *testing.T) {
		assertFault(t, strings.Replace(validSettings, `"store"`, `"logLevel": "loud", "store"`, 1), "/logLevel")
	})
	t.Run("names text that ends early", func(t *testing.T) {
		assertFault(t, validSettings[:80], "malformed")
	})
}
