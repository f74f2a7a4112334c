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
	return schema.Parse(3, []byte(sample.JSON(doc)))
}

// TestFaults keeps the lines that name the faults of a document.
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
		t.Fatalf("the document was taken: %v", err)
	}
	goldie.New(t).Assert(t, "faults", []byte(faults.Error()+"\n"))
}

func TestSoundDocument(t *testing.T) {
	c, err := parse(t, func(*schema.Text) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Run("a key finds its team", func(t *testing.T) {
		team, id, ok := c.Authenticate(sample.Key("team1"))
		if !ok || team.Name() != "team1" || id != "k1" {
			t.Errorf("the key belongs to %v %q %v", team, id, ok)
		}
	})
	t.Run("an empty and an unknown key find none", func(t *testing.T) {
		for _, key := range []string{"", "secret-nobody"} {
			if _, _, ok := c.Authenticate(key); ok {
				t.Errorf("key %q was taken", key)
			}
		}
	})
	t.Run("no key stands in the document", func(t *testing.T) {
		if strings.Contains(string(c.Bytes()), sample.Key("team1")) {
			t.Error("the document holds a key")
		}
	})
	t.Run("a route reaches the services of its patterns", func(t *testing.T) {
		if n := len(c.Route("all").Services()); n != 12 {
			t.Errorf("route all reaches %d services", n)
		}
	})
}

func TestPresetScales(t *testing.T) {
	c, err := parse(t, func(d *schema.Text) { d.Preset = "maintenance" })
	if err != nil {
		t.Fatal(err)
	}
	t.Run("rates", func(t *testing.T) {
		if rate := c.Team("team0").Rate(); rate != 160 {
			t.Errorf("the rate is %v", rate)
		}
	})
	t.Run("deadlines", func(t *testing.T) {
		if d := c.Route("all").Deadline().Milliseconds(); d != 750 {
			t.Errorf("the deadline is %d ms", d)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sample.JSON(sample.Small(9000).Document())))
	f.Add([]byte(`{"preset": 1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := schema.Parse(1, text)
		if (c == nil) == (err == nil) {
			t.Errorf("parse gave %v and %v", c, err)
		}
	})
}

func FuzzParseVMs(f *testing.F) {
	f.Add([]byte(sample.JSON(sample.Small(9000).List())))
	f.Fuzz(func(t *testing.T, text []byte) {
		v, err := schema.ParseVMs(1, text)
		if (v == nil) == (err == nil) {
			t.Errorf("parse gave %v and %v", v, err)
		}
	})
}
