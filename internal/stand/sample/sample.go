package sample

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
	"kumquatreel.example/kumquatreel/internal/conf/config"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
	"kumquatreel.example/kumquatreel/internal/stand/server"
)

// Kind is one kind of services in a deployment.
type Kind struct {
	Prefix      string
	Count       int
	Replicas    int
	Slots       int
	ColdSlots   int
	Connections int
	ConnectCost time.Duration
	Median      time.Duration
}

// Deployment describes an example at its size.
type Deployment struct {
	Name    string
	Domains []ident.Domain
	VMs     int
	Kinds   []Kind
	Teams   []schema.TeamText
	Routes  []schema.RouteText
	// Port is the first port used; the platform, the VMs and the backend servers follow.
	Port int
	Host string
}

const (
	warmAfter    = 30
	shardWeight  = 1000
	itemsByShard = 3
	portsByVM    = 3
)

// Key returns the key of a team in examples and tests.
func Key(team ident.Team) string { return server.KeyMark + string(team) }

// Small returns a deployment for demonstrations and tests: three failure domains, three VMs, twelve shards.
func Small(port int) Deployment {
	return Deployment{
		Name: "small", Domains: []ident.Domain{"east", "west", "north"}, VMs: 3, Port: port, Host: "127.0.0.1",
		Kinds: []Kind{
			{Prefix: "lookup", Count: 8, Replicas: 2, Slots: 2, ColdSlots: 1, Connections: 25, ConnectCost: 6 * time.Millisecond, Median: 4 * time.Millisecond},
			{Prefix: "book", Count: 4, Replicas: 2, Slots: 4, ColdSlots: 2, Connections: 40, ConnectCost: time.Millisecond, Median: 3 * time.Millisecond},
		},
		Teams: teams(3, 200, 40),
		Routes: []schema.RouteText{
			{Name: "search", Services: []string{"lookup-*"}, Idempotent: true, Class: "search", DeadlineMillis: 400, MinCoverage: 0.5},
			{Name: "all", Services: []string{"*"}, Idempotent: true, Class: "search", DeadlineMillis: 500, MinCoverage: 0.5},
			{Name: "public", Services: []string{"lookup-*"}, Idempotent: true, Open: true, Class: "public", DeadlineMillis: 400, MinCoverage: 0.5},
			{Name: "book", Services: []string{"book-0"}, Class: "booking", DeadlineMillis: 800},
		},
	}
}

// Registry returns the Kyushu Registry at today's size.
func Registry(port int) Deployment {
	return Deployment{
		Name: "registry", Domains: []ident.Domain{"fukuoka", "kumamoto", "oita", "saga"}, VMs: 9, Port: port, Host: "127.0.0.1",
		Kinds: []Kind{
			{Prefix: "lookup", Count: 30, Replicas: 2, Slots: 2, ColdSlots: 1, Connections: 25, ConnectCost: 6 * time.Millisecond, Median: 8 * time.Millisecond},
			{Prefix: "approval", Count: 20, Replicas: 2, Slots: 2, ColdSlots: 1, Connections: 25, ConnectCost: 6 * time.Millisecond, Median: 8 * time.Millisecond},
			{Prefix: "inspection", Count: 2, Replicas: 4, Slots: 4, ColdSlots: 2, Connections: 110, ConnectCost: time.Millisecond, Median: 5 * time.Millisecond},
			{Prefix: "intake", Count: 1, Replicas: 4, Slots: 4, ColdSlots: 2, Connections: 110, ConnectCost: time.Millisecond, Median: 5 * time.Millisecond},
		},
		Teams: teams(8, 20, 10),
		Routes: []schema.RouteText{
			{Name: "lookup", Services: []string{"lookup-*"}, Idempotent: true, Class: "lookup", DeadlineMillis: 250, MinCoverage: 0.9, EarlyAfterMillis: 120, EarlyCoverage: 0.96},
			{Name: "approval", Services: []string{"approval-*"}, Idempotent: true, Class: "approval", DeadlineMillis: 250, MinCoverage: 0.95},
			{Name: "everything", Services: []string{"lookup-*", "approval-*"}, Idempotent: true, Class: "lookup", DeadlineMillis: 400, MinCoverage: 0.9},
			{Name: "certificate", Services: []string{"inspection-0"}, Class: "certificate", DeadlineMillis: 800},
			{Name: "intake", Services: []string{"intake-0"}, Class: "intake", DeadlineMillis: 800},
			{Name: "catalogue", Services: []string{"lookup-*"}, Idempotent: true, Open: true, Class: "public", DeadlineMillis: 250, MinCoverage: 0.5},
		},
	}
}

// Wheels returns Kwabena Wheels at today's size, with its three books.
func Wheels(port int) Deployment {
	book := func(prefix string, n int) Kind {
		return Kind{Prefix: prefix, Count: n, Replicas: 2, Slots: 3, ColdSlots: 1, Connections: 30, ConnectCost: 6 * time.Millisecond, Median: 8 * time.Millisecond}
	}
	return Deployment{
		Name: "wheels", Domains: []ident.Domain{"accra", "kumasi", "takoradi"}, VMs: 6, Port: port, Host: "127.0.0.1",
		Kinds: []Kind{
			book("bookA", 18), book("bookB", 16), book("bookC", 16),
			{Prefix: "return", Count: 3, Replicas: 4, Slots: 4, ColdSlots: 2, Connections: 40, ConnectCost: time.Millisecond, Median: 5 * time.Millisecond},
			{Prefix: "repair", Count: 2, Replicas: 4, Slots: 4, ColdSlots: 2, Connections: 40, ConnectCost: time.Millisecond, Median: 5 * time.Millisecond},
		},
		Teams: teams(8, 25, 10),
		Routes: []schema.RouteText{
			{Name: "search", Services: []string{"bookA-*", "bookB-*", "bookC-*"}, Idempotent: true, Class: "search", DeadlineMillis: 800, MinCoverage: 0.99},
			{Name: "shortlist", Services: []string{"bookA-*", "bookB-*", "bookC-*"}, Idempotent: true, Class: "shortlist", DeadlineMillis: 300, MinCoverage: 0.8, EarlyAfterMillis: 60, EarlyCoverage: 0.9},
			{Name: "booking", Services: []string{"return-0"}, Class: "booking", DeadlineMillis: 800},
			{Name: "repair", Services: []string{"repair-*"}, Idempotent: true, Class: "repair", DeadlineMillis: 400, MinCoverage: 0.9},
		},
	}
}

func teams(n int, rate, burst float64) []schema.TeamText {
	var out []schema.TeamText
	for i := range n {
		name := ident.Team(fmt.Sprintf("team%d", i))
		scale := 1.0
		if i < n/4 {
			scale = 3
		}
		out = append(out, schema.TeamText{
			Name: name, Weight: scale, Rate: rate * scale, Burst: burst * scale, Services: []string{"*"},
			Keys: []schema.KeyText{{ID: "k1", SHA256: schema.HashKey(Key(name))}},
		})
	}
	return out
}

// PlatformAddress returns the address of the platform stand-in.
func (d Deployment) PlatformAddress() string { return d.address(0) }

// ControlAddress returns the address of the platform stand-in's switches.
func (d Deployment) ControlAddress() string { return d.address(1) }

func (d Deployment) address(offset int) string {
	return net.JoinHostPort(d.Host, strconv.Itoa(d.Port+offset))
}

func (d Deployment) vmPort(i int) int { return 2 + portsByVM*i }

// List returns the list of VMs, all of them live.
func (d Deployment) List() schema.VMListText {
	var out schema.VMListText
	for i := range d.VMs {
		out.VMs = append(out.VMs, schema.VMText{
			Name: d.vmName(i), Client: d.address(d.vmPort(i)), Inner: d.address(d.vmPort(i) + 1),
			Domain: d.Domains[i%len(d.Domains)],
		})
	}
	return out
}

func (d Deployment) vmName(i int) ident.VM { return ident.VM(fmt.Sprintf("vm%d", i)) }

// Settings returns the settings of one VM.
func (d Deployment) Settings(i int) config.Text {
	return config.Text{
		Name: d.vmName(i), Domain: d.Domains[i%len(d.Domains)],
		Client: d.address(d.vmPort(i)), Inner: d.address(d.vmPort(i) + 1), Operator: d.address(d.vmPort(i) + 2),
		Platform: d.PlatformAddress(),
	}
}

// Document returns the configuration.
func (d Deployment) Document() schema.Text {
	doc := schema.Text{
		Preset: "ordinary", Presets: presets(), Domains: make(map[ident.Domain]schema.DomainState),
		Teams: d.Teams, Routes: d.Routes,
	}
	for _, name := range d.Domains {
		doc.Domains[name] = schema.DomainIn
	}
	port := d.vmPort(d.VMs)
	for k, kind := range d.Kinds {
		for i := range kind.Count {
			service := schema.ServiceText{
				Name: ident.Service(fmt.Sprintf("%s-%d", kind.Prefix, i)), IndexVersion: 1, Slots: kind.Slots,
				ColdSlots: kind.ColdSlots, Connections: kind.Connections, WarmAfter: warmAfter,
				Shards: []schema.ShardText{{Weight: shardWeight}},
			}
			for r := range kind.Replicas {
				text := schema.ServerText{
					Name: ident.Server(fmt.Sprintf("%s-%d-%d", kind.Prefix, i, r)), Address: d.address(port),
					Domain: d.Domains[(k+i+r)%len(d.Domains)],
				}
				port++
				doc.Servers = append(doc.Servers, text)
				service.Shards[0].Servers = append(service.Shards[0].Servers, text.Name)
			}
			doc.Services = append(doc.Services, service)
		}
	}
	return doc
}

func presets() map[string]schema.PresetText {
	return map[string]schema.PresetText{
		"ordinary":    {ExtraLoadPercent: 3, HedgeQuantile: 0.95, DeadlinePercent: 100, RatePercent: 100, QueuePerServer: 64},
		"peak":        {ExtraLoadPercent: 1, HedgeQuantile: 0.98, DeadlinePercent: 100, RatePercent: 100, QueuePerServer: 32},
		"maintenance": {ExtraLoadPercent: 3, HedgeQuantile: 0.95, DeadlinePercent: 150, RatePercent: 80, QueuePerServer: 64},
	}
}

// Models returns the stand-ins for the backend servers of a configuration.
func (d Deployment) Models(doc schema.Text, seed uint64) []server.Model {
	var out []server.Model
	n := 0
	for _, kind := range d.Kinds {
		for range kind.Count * kind.Replicas {
			out = append(out, server.Model{
				Name: doc.Servers[n].Name, Slots: kind.Slots, ColdSlots: kind.ColdSlots, Connections: kind.Connections,
				ConnectCost: kind.ConnectCost, Median: kind.Median, Spread: 0.25, WarmAfter: warmAfter, ColdFactor: 3,
				FallFor: time.Second, Versions: sets.SetOf(1), ItemsPerShard: itemsByShard, Seed: seed,
			})
			n++
		}
	}
	return out
}

// Text returns the published form of a document.
func Text(doc any) string {
	raw, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return ""
	}
	return string(raw)
}
