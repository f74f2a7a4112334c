package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/lab/load"
	"kumquatreel.example/kumquatreel/internal/stand/sample"
	"kumquatreel.example/kumquatreel/internal/wire/client"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
	"kumquatreel.example/kumquatreel/internal/wire/public"
)

const (
	maxLoadDuration = 10 * time.Minute
	maxLoadRate     = 20000
	// loadGracePeriod is the time that outstanding requests get after the last one was sent.
	loadGracePeriod = 10 * time.Second
)

type loadCommand struct {
	Seeds    []string      `long:"seed-address" required:"yes" description:"address of an entry VM; may be repeated"`
	Team     string        `long:"team" default:"team0" description:"team; its example key is used"`
	Route    string        `long:"route" default:"search" description:"route"`
	Record   string        `long:"record" description:"record, for a route that is not idempotent"`
	Rate     float64       `long:"rate" default:"20" description:"requests per second"`
	Duration time.Duration `long:"for" default:"5s" description:"how long to send"`
}

// Execute sends the load and prints a summary of the results.
func (c *loadCommand) Execute([]string) error {
	if c.Rate <= 0 || c.Rate > maxLoadRate || c.Duration <= 0 || c.Duration > maxLoadDuration {
		return errors.Newf("load: the rate must be above 0 and at most %d per second, the duration above 0 and at most %v", maxLoadRate, maxLoadDuration)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Duration+loadGracePeriod)
	defer cancel()
	team := ident.Team(c.Team)
	cl, closeIdle := client.New(netio.TCP{}, c.Seeds, team, sample.Key(team))
	defer closeIdle()
	r := load.NewRecorder()
	load.Run(ctx, cl, load.Plan{
		Query: public.Query{Route: ident.Route(c.Route), Record: c.Record}, Rate: c.Rate, Duration: c.Duration,
	}, r)
	raw, err := json.MarshalIndent(r.Result(), "", "  ")
	if err != nil {
		return errors.Errorf("load: %w", err)
	}
	fmt.Println(string(raw))
	return nil
}
