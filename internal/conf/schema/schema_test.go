package schema_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"

	"kumquatreel.example/kumquatreel/internal/conf/jsonc"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/stand/sample"
)

func parse(t *testing.T, change func(*schema.Text)) (*schema.Catalog, error) {
	t.Helper()
	doc := sample.Small(9000).Document()
	change(&doc)
	return schema.Parse(3, []byte(sample.Text(doc)))
}

// TestFaults guards against faults of a document that are missed or reported with the wrong line, path or text.
func TestFaults(t *testing.T) {
	_, err := parse(t, func(d *schema.Text) {
		d.Preset = "holiday"
		d.Teams[0].Rate = -1
		d.Teams[1].Keys[0].SHA256 = "zz"
		d.Teams[2].Name = d.Teams[1].Name
		d.Servers[0].Address = "localhost:80"
		d.Servers[1].Domain = "south"
		d.Services[0].ColdSlots = 3
		d.Services[1].Shards[0].Servers[0] = "nobody"
		d.Services[2].IndexVersion = 0
		d.Routes[0].DeadlineMillis = 0
		d.Routes[1].Services = []string{"none-*"}
		d.Routes[3].Services = []string{"book-*"}
	})
	var faults jsonc.FaultErrors
	if !errors.As(err, &faults) {
		t.Fatalf("the document was accepted: %v", err)
	}
	goldie.New(t).Assert(t, "faults", []byte(faults.Error()+"\n"))
}

// TestSoundDocument guards against lookups in a valid document that return the wrong team or services, and against published keys.
func TestSoundDocument(t *testing.T) {
	c, err := parse(t, func(*schema.Text) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Run("a key finds its team", func(t *testing.T) {
		team, id, ok := c.Authenticate(sample.Key("team1"))
		if !ok || team.Name() != "team1" || id != "k1" {
			t.Errorf("the key belongs to team %v with id %q (%v), want team1 with id k1", team, id, ok)
		}
	})
	t.Run("an empty and an unknown key find none", func(t *testing.T) {
		for _, key := range []string{"", "secret-nobody"} {
			if _, _, ok := c.Authenticate(key); ok {
				t.Errorf("key %q was accepted", key)
			}
		}
	})
	t.Run("no key stands in the document", func(t *testing.T) {
		if strings.Contains(string(c.Bytes()), sample.Key("team1")) {
			t.Error("the document contains an API key in clear text")
		}
	})
	t.Run("a route reaches the services of its patterns", func(t *testing.T) {
		if n := len(c.Route("all").Services()); n != 12 {
			t.Errorf("route all reaches %d services, want 12", n)
		}
	})
}

// TestPresetScales guards against a preset whose rate or deadline percentage is not applied.
func TestPresetScales(t *testing.T) {
	c, err := parse(t, func(d *schema.Text) { d.Preset = "maintenance" })
	if err != nil {
		t.Fatal(err)
	}
	t.Run("rates", func(t *testing.T) {
		if rate := c.Team("team0").Rate(); rate != 160 {
			t.Errorf("got a rate of %v requests/s, want 160", rate)
		}
	})
	t.Run("deadlines", func(t *testing.T) {
		if d := c.Route("all").Deadline().Milliseconds(); d != 750 {
			t.Errorf("got a deadline of %d ms, want 750", d)
		}
	})
}

// FuzzParse guards against texts for which Parse returns both or neither of a configuration and an error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample.Text(sample.Small(9000).Document())))
	f.Add([]byte(`{"preset": 1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := schema.Parse(1, text)
		if (c == nil) == (err == nil) {
			t.Errorf("Parse returned %v and error %v, want exactly one of them", c, err)
		}
	})
}

// FuzzParseVMs guards against texts for which ParseVMs returns both or neither of a list and an error.
func FuzzParseVMs(f *testing.F) {
	f.Add([]byte(sample.Text(sample.Small(9000).List())))
	f.Fuzz(func(t *testing.T, text []byte) {
		v, err := schema.ParseVMs(1, text)
		if (v == nil) == (err == nil) {
			t.Errorf("ParseVMs returned %v and error %v, want exactly one of them", v, err)
		}
	})
}
