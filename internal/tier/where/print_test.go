package where_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"kumquatreel.example/kumquatreel/internal/tier/gather"
	"kumquatreel.example/kumquatreel/internal/tier/place"
	"kumquatreel.example/kumquatreel/internal/tier/where"
)

func TestPrint(t *testing.T) {
	var b bytes.Buffer
	tokens := 2.25
	err := where.Print(&b, where.Page{
		VM: "vm0", At: time.Unix(1700000000, 0), ConfigVersion: 3, Route: "all", Team: "tailors", Priority: 1, Tokens: &tokens,
		DueMs: 66, EndMs: 242, TypicalMs: 9.5, MaxWaitMs: 36.3, Refused: "too many parts have no server", AgainMs: 800, MinParts: 2,
		Parts: []where.Part{
			{Service: "books", Server: "i-1", Capacity: gather.CapacityNow, Servers: []where.Server{
				{Server: "i-1", Domain: "north", InFlight: 2, WaitMs: 4.8, CostMs: 14.3},
				{Server: "i-2", Domain: "south", PassedOver: place.ReasonSlow, InFlight: 9, WaitMs: 38, CostMs: 95},
			}},
			{Service: "maps", Capacity: gather.CapacityNone, Servers: []where.Server{{Server: "i-3", Domain: "north", PassedOver: place.ReasonResting}}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "page", b.Bytes())
}
