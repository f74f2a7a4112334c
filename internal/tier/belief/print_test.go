package belief_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"kumquatreel.example/kumquatreel/internal/tier/belief"
)

func TestPrint(t *testing.T) {
	var b bytes.Buffer
	err := belief.Print(&b, belief.Page{
		VM: "vm0", At: time.Unix(1700000000, 0), Store: belief.Store{Era: 1, Revision: 40, ConfigVersion: 3, AgeMs: 850, Watching: true, Refused: &belief.Refused{
			Key: "config", Revision: 41, Reason: "its version is lower than the one in force",
		}},
		Servers: []belief.Server{
			{Server: "i-1", Service: "books", Domain: "north", Address: "127.0.0.1:80", Revision: 12, InFlight: 2, Load: &belief.Load{
				Requests: 3, Pace: 1.5, Source: belief.SourceOtherVM, AgeMs: 310,
			}},
			{Server: "i-2", Service: "books", Domain: "south", Address: "127.0.0.2:80", Revision: 13, Reasons: []belief.Reason{
				{What: belief.WhatLeaving, Source: belief.SourceServer, AgeMs: 1500},
				{What: belief.WhatResting, Source: belief.SourceOtherVM, ForMs: 800},
			}},
		},
		Teams:   []belief.Team{{Team: "tailors", Rate: 5, Burst: 10, Tokens: 2.25}},
		VMs:     []belief.VM{{VM: "vm1", Domain: "south", Phase: "ready", Alive: true, Core: true, AgeMs: 210, Era: 1, Revision: 40}},
		LeftOut: 7,
	})
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "page", b.Bytes())
}
