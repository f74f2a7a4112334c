package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/belief"
	"kumquatreel.example/kumquatreel/internal/tier/events"
	"kumquatreel.example/kumquatreel/internal/tier/where"
	"kumquatreel.example/kumquatreel/internal/wire/client"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
	"kumquatreel.example/kumquatreel/internal/wire/public"
)

// maxPageBytes is the largest answer that is read from a VM's operator address.
const maxPageBytes = 16 << 20

type queryCommand struct {
	Seeds               []string      `long:"seed" required:"yes" description:"address of an entry VM; may be repeated"`
	Team                string        `long:"team" description:"team for which the directory is asked"`
	Key                 string        `long:"key" env:"KUMQUATREEL_KEY" description:"the team's key; better given in the environment"`
	Route               string        `long:"route" required:"yes" description:"route"`
	Record              string        `long:"record" description:"record, for a route that is not idempotent"`
	Body                string        `long:"body" default:"{}" description:"body in JSON"`
	Ticket              bool          `long:"ticket" description:"get a ticket first, so that a retry cannot run the request twice"`
	RequireFullCoverage bool          `long:"whole" description:"fail unless the answer covers every shard"`
	Timeout             time.Duration `long:"timeout" default:"5s" description:"time limit for the whole command"`
}

// Execute sends one request and prints the answer. With --whole it fails if the answer does not cover every shard.
func (c *queryCommand) Execute([]string) error {
	if !json.Valid([]byte(c.Body)) {
		return errors.New("query: the body is not JSON")
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	cl, closeIdle := client.New(netio.TCP{}, c.Seeds, ident.Team(c.Team), c.Key)
	defer closeIdle()
	q := public.Query{Route: ident.Route(c.Route), Record: c.Record, Body: json.RawMessage(c.Body)}
	if c.Ticket {
		tickets, err := cl.Tickets(ctx, 1)
		if err != nil {
			return errors.Errorf("query: %w", err)
		}
		q.Ticket = tickets.Tickets[0]
	}
	answer, err := cl.Query(ctx, q)
	if err != nil {
		return errors.Errorf("query: %w", err)
	}
	if c.RequireFullCoverage && answer.Coverage.Shards < answer.Coverage.ShardsTotal {
		return errors.Newf("query: answer covers %d of %d shards, missing: %v", answer.Coverage.Shards, answer.Coverage.ShardsTotal, answer.Coverage.Missing)
	}
	return printJSON(answer)
}

type statusCommand struct {
	Operator string `long:"operator" required:"yes" description:"a VM's address for operators"`
}

// Execute prints a VM's status.
func (c *statusCommand) Execute([]string) error { return printPage(c.Operator, "/status") }

type beliefsCommand struct {
	Metrics string `long:"metrics" required:"yes" description:"the VM's address for metrics"`
	Service string `long:"service" description:"show only the servers of this service"`
	Limit   int    `long:"limit" default:"500" description:"rows of servers, of teams and of VMs, 1 to 5000"`
	JSON    bool   `long:"json" description:"print JSON instead of tables"`
}

// Execute prints a VM's beliefs.
func (c *beliefsCommand) Execute([]string) error {
	path := "/beliefs?" + url.Values{"service": {c.Service}, "limit": {strconv.Itoa(c.Limit)}}.Encode()
	if c.JSON {
		return printPage(c.Metrics, path)
	}
	var page belief.Page
	if err := getPage(c.Metrics, path, &page); err != nil {
		return err
	}
	return belief.Print(os.Stdout, page)
}

type whereCommand struct {
	Metrics   string        `long:"metrics" required:"yes" description:"the VM's address for metrics"`
	Host      string        `long:"host" required:"yes" description:"the host of the request"`
	Path      string        `long:"path" required:"yes" description:"the path of the request"`
	Team      string        `long:"team" description:"the team that makes the request"`
	Remaining time.Duration `long:"remaining" description:"the time that the client will wait; the route's timeout if it is not given"`
	JSON      bool          `long:"json" description:"print JSON instead of a table"`
}

// Execute prints where a request would go.
func (c *whereCommand) Execute([]string) error {
	values := url.Values{"host": {c.Host}, "path": {c.Path}, "team": {c.Team}}
	if c.Remaining > 0 {
		values.Set("remainingMs", strconv.FormatFloat(float64(c.Remaining)/float64(time.Millisecond), 'f', -1, 64))
	}
	path := "/where?" + values.Encode()
	if c.JSON {
		return printPage(c.Metrics, path)
	}
	var page where.Page
	if err := getPage(c.Metrics, path, &page); err != nil {
		return err
	}
	return where.Print(os.Stdout, page)
}

type readyCommand struct {
	Operator string `long:"operator" required:"yes" description:"a VM's address for operators"`
}

// Execute returns an error unless the VM is ready.
func (c *readyCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	t, closeIdle := netio.Transport(netio.TCP{}, 1)
	defer closeIdle()
	if err := netio.Get(ctx, &http.Client{Transport: t}, c.Operator, "/readyz", nil, maxPageBytes); err != nil {
		return errors.Errorf("not ready: %w", err)
	}
	return nil
}

type explainCommand struct {
	Operator string   `long:"operator" description:"a VM's address for operators, to ask that VM"`
	Log      []string `long:"log" description:"a log file to search; may be repeated; without --log and --operator, standard input is read"`
	Args     struct {
		Request string `positional-arg-name:"REQUEST" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints what the VM or the logs have recorded about a request.
func (c *explainCommand) Execute([]string) error {
	if c.Operator != "" {
		return printPage(c.Operator, "/requests/"+c.Args.Request)
	}
	lines, err := c.read()
	if err != nil {
		return errors.Errorf("explain: %w", err)
	}
	if err := events.Explain(os.Stdout, lines, c.Args.Request); err != nil {
		return errors.Errorf("explain: %w", err)
	}
	return nil
}

func (c *explainCommand) read() ([]events.Line, error) {
	if len(c.Log) == 0 {
		lines, _, err := events.Read(os.Stdin, "stdin")
		return lines, err
	}
	return events.ReadFiles(c.Log)
}

func printPage(address, path string) error {
	var page json.RawMessage
	if err := getPage(address, path, &page); err != nil {
		return err
	}
	return printJSON(page)
}

// getPage gets a page of a VM and decodes it.
func getPage(address, path string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	t, closeIdle := netio.Transport(netio.TCP{}, 1)
	defer closeIdle()
	if err := netio.Get(ctx, &http.Client{Transport: t}, address, path, into, maxPageBytes); err != nil {
		return errors.Errorf("read from VM %s: %w", address, err)
	}
	return nil
}

func printJSON(v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Errorf("print: %w", err)
	}
	if _, err := fmt.Fprintln(os.Stdout, string(raw)); err != nil {
		return errors.Errorf("print: %w", err)
	}
	return nil
}
