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

// ServiceKind describes Count services with the same replication, limits and service time, named by Prefix and a number.
type ServiceKind struct {
	Prefix            string
	Count             int
	Replicas          int
	Slots             int
	ColdSlots         int
	Connections       int
	ConnectCost       time.Duration
	MedianServiceTime time.Duration
}

// Deployment describes an example deployment.
type Deployment struct {
	Name    string
	Domains []ident.Domain
	VMs     int
	Kinds   []ServiceKind
	Teams   []schema.TeamText
	Routes  []schema.RouteText
	// Port is the first of consecutive ports: two for the platform, three per VM, then one per backend server.
	Port int
	Host string
}

const (
	warmAfter     = 30
	shardWeight   = 1000
	itemsPerShard = 3
	portsPerVM    = 3
)

// Key returns the API key of a team in examples and tests.
func Key(team ident.Team) string { return server.KeyMarker + string(team) }

// Small returns a deployment for demonstrations and tests: three failure domains, three VMs, twelve shards.
func Small(port int) Deployment {
	return Deployment{
		Name: "small", Domains: []ident.Domain{"east", "west", "north"}, VMs: 3, Port: port, Host: "127.0.0.1",
		Kinds: []ServiceKind{
			{Prefix: "lookup", Count: 8, Replicas: 2, Slots: 2, ColdSlots: 1, Connections: 25, ConnectCost: 6 * time.Millisecond, MedianServiceTime: 4 * time.Millisecond},
			{Prefix: "book", Count: 4, Replicas: 2, Slots: 4, ColdSlots: 2, Connections: 40, ConnectCost: time.Millisecond, MedianServiceTime: 3 * time.Millisecond},
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

// Registry returns the deployment of the Kyushu Registry at its present size.
func Registry(port int) Deployment {
	return Deployment{
		Name: "registry", Domains: []ident.Domain{"fukuoka", "kumamoto", "oita", "saga"}, VMs: 9, Port: port, Host: "127.0.0.1",
		Kinds: []ServiceKind{
			{Prefix: "lookup", Count: 30, Replicas: 2, Slots: 2, ColdSlots: 1, Connections: 25, ConnectCost: 6 * time.Millisecond, MedianServiceTime: 8 * time.Millisecond},
			{Prefix: "approval", Count: 20, Replicas: 2, Slots: 2, ColdSlots: 1, Connections: 25, ConnectCost: 6 * time.Millisecond, MedianServiceTime: 8 * time.Millisecond},
			{Prefix: "inspection", Count: 2, Replicas: 4, Slots: 4, ColdSlots: 2, Connections: 110, ConnectCost: time.Millisecond, MedianServiceTime: 5 * time.Millisecond},
			{Prefix: "intake", Count: 1, Replicas: 4, Slots: 4, ColdSlots: 2, Connections: 110, ConnectCost: time.Millisecond, MedianServiceTime: 5 * time.Millisecond},
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

// Wheels returns the deployment of Kwabena Wheels at its present size, with its three books.
func Wheels(port int) Deployment {
	book := func(prefix string, n int) ServiceKind {
		return ServiceKind{Prefix: prefix, Count: n, Replicas: 2, Slots: 3, ColdSlots: 1, Connections: 30, ConnectCost: 6 * time.Millisecond, MedianServiceTime: 8 * time.Millisecond}
	}
	return Deployment{
		Name: "wheels", Domains: []ident.Domain{"accra", "kumasi", "takoradi"}, VMs: 6, Port: port, Host: "127.0.0.1",
		Kinds: []ServiceKind{
			book("bookA", 18), book("bookB", 16), book("bookC", 16),
			{Prefix: "return", Count: 3, Replicas: 4, Slots: 4, ColdSlots: 2, Connections: 40, ConnectCost: time.Millisecond, MedianServiceTime: 5 * time.Millisecond},
			{Prefix: "repair", Count: 2, Replicas: 4, Slots: 4, ColdSlots: 2, Connections: 40, ConnectCost: time.Millisecond, MedianServiceTime: 5 * time.Millisecond},
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

// PlatformAddress returns the address of the platform.
func (d Deployment) PlatformAddress() string { return d.address(0) }

// ControlAddress returns the address of the platform's control endpoints.
func (d Deployment) ControlAddress() string { return d.address(1) }

func (d Deployment) address(offset int) string {
	return net.JoinHostPort(d.Host, strconv.Itoa(d.Port+offset))
}

func (d Deployment) vmPort(i int) int { return 2 + portsPerVM*i }

// List returns the list of VMs, all live.
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

// Settings returns the settings of the i-th VM.
func (d Deployment) Settings(i int) config.Text {
	return config.Text{
		Name: d.vmName(i), Domain: d.Domains[i%len(d.Domains)],
		Client: d.address(d.vmPort(i)), Inner: d.address(d.vmPort(i) + 1), Operator: d.address(d.vmPort(i) + 2),
		Platform: d.PlatformAddress(),
	}
}

// Document returns the configuration with preset "ordinary" and all failure domains in service.
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

// Models returns the models of the backend servers, in the order of doc.Servers. doc must come from Document.
func (d Deployment) Models(doc schema.Text, seed uint64) []server.Model {
	var out []server.Model
	n := 0
	for _, kind := range d.Kinds {
		for range kind.Count * kind.Replicas {
			out = append(out, server.Model{
				Name: doc.Servers[n].Name, Slots: kind.Slots, ColdSlots: kind.ColdSlots, Connections: kind.Connections,
				ConnectCost: kind.ConnectCost, MedianServiceTime: kind.MedianServiceTime, ServiceTimeSigma: 0.25, WarmAfter: warmAfter, ColdFactor: 3,
				CrashDuration: time.Second, Versions: sets.SetOf(1), ItemsPerShard: itemsPerShard, Seed: seed,
			})
			n++
		}
	}
	return out
}

// JSON returns a document as indented JSON, the form in which it is published, or "" if it cannot be encoded.
func JSON(doc any) string {
	raw, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return ""
	}
	return string(raw)
}
