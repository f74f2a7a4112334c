package schema

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"strconv"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
	"kumquatreel.example/kumquatreel/internal/conf/jsonc"
)

const (
	maxRouteDeadline    = time.Minute
	maxExtraLoadPercent = 100
	maxNameBytes        = 64
)

// Parse returns the configuration in text, or jsonc.FaultErrors with every fault found.
func Parse(revision int64, text []byte) (*Catalog, error) {
	var doc Text
	if err := jsonc.Decode(text, &doc); err != nil {
		return nil, err
	}
	p := &parser{}
	c := &Catalog{revision: revision, text: text, domains: doc.Domains}
	c.preset = p.preset(doc)
	p.domains(doc)
	p.servers(c, doc.Servers)
	p.services(c, doc.Services)
	p.routes(c, doc.Routes)
	p.teams(c, doc.Teams, p.rateScale)
	if len(p.faults) > 0 {
		return nil, jsonc.Locate(text, p.faults)
	}
	return c, nil
}

// ParseVMs returns the list of VMs in text, or jsonc.FaultErrors with every fault found.
func ParseVMs(revision int64, text []byte) (*VMs, error) {
	var doc VMListText
	if err := jsonc.Decode(text, &doc); err != nil {
		return nil, err
	}
	p := &parser{}
	v := &VMs{revision: revision, text: text}
	seen := sets.SetOf[ident.VM]()
	for i, t := range doc.VMs {
		path := fmt.Sprintf("/vms/%d", i)
		p.name(path, string(t.Name))
		p.address(path+"/caller", t.Client)
		p.address(path+"/inner", t.Inner)
		p.check(seen.Add(t.Name), path, "VM %q is listed twice", t.Name)
		v.all = append(v.all, VM{name: t.Name, client: t.Client, inner: t.Inner, domain: t.Domain, state: t.State})
	}
	if len(p.faults) > 0 {
		return nil, jsonc.Locate(text, p.faults)
	}
	return v, nil
}

// parser collects the faults of one document and holds the scales of its preset.
type parser struct {
	faults        jsonc.FaultErrors
	deadlineScale float64
	rateScale     float64
}

func (p *parser) check(ok bool, path, format string, args ...any) {
	if !ok {
		p.faults = append(p.faults, jsonc.NewFault(path, format, args...))
	}
}

func (p *parser) name(path, name string) {
	p.check(name != "" && len(name) <= maxNameBytes, path, "the name has %d bytes, want 1 to %d", len(name), maxNameBytes)
	for _, r := range name {
		if !isNameRune(r) {
			p.check(false, path, "the name %q has a character other than a-z A-Z 0-9 . _ -", name)
			return
		}
	}
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	case r == '.', r == '_', r == '-':
		return true
	}
	return false
}

func (p *parser) address(path, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		p.check(false, path, "%q is not host:port", address)
		return
	}
	n, err := strconv.Atoi(port)
	p.check(net.ParseIP(host) != nil, path, "the host of %q is not an IP address", address)
	p.check(err == nil && n > 0 && n < 1<<16, path, "the port of %q is not in 1 to 65535", address)
}

func (p *parser) preset(doc Text) Preset {
	for _, name := range sets.Sorted(setOfKeys(doc.Presets)) {
		p.presetBounds("/presets/"+name, doc.Presets[name])
	}
	t, ok := doc.Presets[doc.Preset]
	p.check(ok, "/preset", "preset %q is not defined", doc.Preset)
	p.deadlineScale = float64(t.DeadlinePercent) / 100
	p.rateScale = float64(t.RatePercent) / 100
	return Preset{
		name:           doc.Preset,
		extraLoad:      t.ExtraLoadPercent / 100,
		hedgeQuantile:  t.HedgeQuantile,
		deadlineScale:  p.deadlineScale,
		rateScale:      p.rateScale,
		queuePerServer: t.QueuePerServer,
	}
}

func (p *parser) presetBounds(path string, t PresetText) {
	p.check(t.ExtraLoadPercent >= 0 && t.ExtraLoadPercent <= maxExtraLoadPercent,
		path+"/extraLoadPercent", "%v is not in 0 to %d", t.ExtraLoadPercent, maxExtraLoadPercent)
	p.check(t.HedgeQuantile >= 0 && t.HedgeQuantile < 1, path+"/hedgeQuantile", "%v is not at least 0 and below 1", t.HedgeQuantile)
	p.check(t.DeadlinePercent > 0 && t.DeadlinePercent <= 1000, path+"/deadlinePercent", "%d is not in 1 to 1000", t.DeadlinePercent)
	p.check(t.RatePercent > 0 && t.RatePercent <= 100, path+"/ratePercent", "%d is not in 1 to 100", t.RatePercent)
	p.check(t.QueuePerServer > 0 && t.QueuePerServer <= 10000, path+"/queuePerServer", "%d is not in 1 to 10000", t.QueuePerServer)
}

func setOfKeys[K comparable, V any](m map[K]V) sets.Set[K] {
	s := sets.SetOf[K]()
	for k := range m {
		s.Add(k)
	}
	return s
}

func (p *parser) domains(doc Text) {
	p.check(len(doc.Domains) > 0, "/domains", "no failure domain is given")
	for _, d := range sets.Sorted(setOfKeys(doc.Domains)) {
		p.name("/domains/"+string(d), string(d))
	}
}

func (p *parser) servers(c *Catalog, texts []ServerText) {
	c.servers = make(map[ident.Server]*Server, len(texts))
	for i, t := range texts {
		path := fmt.Sprintf("/servers/%d", i)
		p.name(path+"/name", string(t.Name))
		p.address(path+"/address", t.Address)
		_, known := c.domains[t.Domain]
		p.check(known, path+"/domain", "failure domain %q is not defined", t.Domain)
		p.check(c.servers[t.Name] == nil, path+"/name", "backend server %q is defined twice", t.Name)
		s := &Server{name: t.Name, address: t.Address, domain: t.Domain, state: t.State}
		c.servers[t.Name] = s
		c.order.servers = append(c.order.servers, s)
	}
}

func (p *parser) services(c *Catalog, texts []ServiceText) {
	p.check(len(texts) > 0, "/services", "no service is given")
	c.services = make(map[ident.Service]*Service, len(texts))
	for i, t := range texts {
		path := fmt.Sprintf("/services/%d", i)
		p.name(path+"/name", string(t.Name))
		p.check(c.services[t.Name] == nil, path+"/name", "service %q is defined twice", t.Name)
		p.check(t.IndexVersion > 0, path+"/indexVersion", "%d is not above 0", t.IndexVersion)
		p.check(t.Slots > 0, path+"/slots", "%d is not above 0", t.Slots)
		p.check(t.ColdSlots > 0 && t.ColdSlots <= t.Slots, path+"/coldSlots", "%d is not in 1 to slots", t.ColdSlots)
		p.check(t.Connections >= 2*t.Slots, path+"/connections", "%d connections are fewer than two per slot", t.Connections)
		p.check(t.WarmAfter > 0, path+"/warmAfter", "%d is not above 0", t.WarmAfter)
		p.check(len(t.Shards) > 0, path+"/shards", "no shard is given")
		s := &Service{
			name: t.Name, indexVersion: t.IndexVersion, slots: t.Slots,
			coldSlots: t.ColdSlots, connections: t.Connections, warmAfter: t.WarmAfter,
		}
		p.shards(c, s, t.Shards, path)
		c.services[t.Name] = s
		c.order.services = append(c.order.services, s)
	}
}

func (p *parser) shards(c *Catalog, s *Service, texts []ShardText, path string) {
	for j, t := range texts {
		shardPath := fmt.Sprintf("%s/shards/%d", path, j)
		p.check(t.Weight > 0, shardPath+"/weight", "%d is not above 0", t.Weight)
		p.check(len(t.Servers) > 0, shardPath+"/servers", "no backend server is given")
		shard := &Shard{weight: t.Weight}
		seen := sets.SetOf[ident.Server]()
		for k, name := range t.Servers {
			serverPath := fmt.Sprintf("%s/servers/%d", shardPath, k)
			p.check(seen.Add(name), serverPath, "backend server %q is listed twice", name)
			server := c.servers[name]
			if server == nil {
				p.check(false, serverPath, "backend server %q is not defined", name)
				continue
			}
			p.check(server.service == nil || server.service == s, serverPath, "backend server %q already belongs to another service", name)
			server.service = s
			shard.servers = append(shard.servers, server)
		}
		s.shards = append(s.shards, shard)
	}
}

func (p *parser) routes(c *Catalog, texts []RouteText) {
	p.check(len(texts) > 0, "/routes", "no route is given")
	c.routes = make(map[ident.Route]*Route, len(texts))
	for i, t := range texts {
		path := fmt.Sprintf("/routes/%d", i)
		p.name(path+"/name", string(t.Name))
		p.check(c.routes[t.Name] == nil, path+"/name", "route %q is defined twice", t.Name)
		p.routeBounds(path, t)
		r := &Route{
			name: t.Name, idempotent: t.Idempotent, open: t.Open, class: t.Class,
			deadline:     p.scaled(t.DeadlineMillis),
			partDeadline: p.scaled(t.PartDeadlineMillis),
			earlyAfter:   p.scaled(t.EarlyAfterMillis),
			minCoverage:  t.MinCoverage, earlyCoverage: t.EarlyCoverage,
		}
		if r.partDeadline == 0 {
			r.partDeadline = r.deadline
		}
		r.services = p.routeServices(c, path, t.Services)
		p.check(t.Idempotent || len(r.services) == 1, path+"/services", "a route that is not idempotent must reach exactly one service")
		c.routes[t.Name] = r
	}
}

func (p *parser) scaled(millis int) time.Duration {
	return time.Duration(float64(millis) * p.deadlineScale * float64(time.Millisecond))
}

func (p *parser) routeBounds(path string, t RouteText) {
	limit := int(maxRouteDeadline / time.Millisecond)
	p.name(path+"/class", t.Class)
	p.check(t.DeadlineMillis > 0 && t.DeadlineMillis <= limit, path+"/deadlineMillis", "%d is not in 1 to %d", t.DeadlineMillis, limit)
	p.check(t.PartDeadlineMillis >= 0 && t.PartDeadlineMillis <= t.DeadlineMillis,
		path+"/partDeadlineMillis", "%d is not in 0 to deadlineMillis", t.PartDeadlineMillis)
	p.check(t.EarlyAfterMillis >= 0 && t.EarlyAfterMillis <= t.DeadlineMillis,
		path+"/earlyAfterMillis", "%d is not in 0 to deadlineMillis", t.EarlyAfterMillis)
	p.check(t.MinCoverage >= 0 && t.MinCoverage <= 1, path+"/minCoverage", "%v is not in 0 to 1", t.MinCoverage)
	p.check(t.EarlyCoverage >= 0 && t.EarlyCoverage <= 1, path+"/earlyCoverage", "%v is not in 0 to 1", t.EarlyCoverage)
}

func (p *parser) routeServices(c *Catalog, path string, patterns []string) []*Service {
	var out []*Service
	seen := sets.SetOf[ident.Service]()
	for j, pattern := range patterns {
		before := len(out)
		for _, s := range c.order.services {
			if matchPattern(pattern, string(s.name)) && seen.Add(s.name) {
				out = append(out, s)
			}
		}
		p.check(len(out) > before, fmt.Sprintf("%s/services/%d", path, j), "%q matches no further service", pattern)
	}
	p.check(len(out) > 0, path+"/services", "the route reaches no service")
	return out
}

func (p *parser) teams(c *Catalog, texts []TeamText, rateScale float64) {
	c.teams = make(map[ident.Team]*Team, len(texts))
	c.keys = make(map[[sha256.Size]byte]keyOwner)
	for i, t := range texts {
		path := fmt.Sprintf("/teams/%d", i)
		p.name(path+"/name", string(t.Name))
		p.check(c.teams[t.Name] == nil, path+"/name", "team %q is defined twice", t.Name)
		p.check(t.Weight > 0, path+"/weight", "%v is not above 0", t.Weight)
		p.check(t.Rate > 0, path+"/rate", "%v is not above 0", t.Rate)
		p.check(t.Burst >= 1, path+"/burst", "%v is below 1", t.Burst)
		team := &Team{
			name: t.Name, weight: t.Weight, rate: t.Rate * rateScale, burst: t.Burst,
			services: t.Services, keyIDs: sets.SetOf[string](),
		}
		p.keys(c, team, t.Keys, path)
		c.teams[t.Name] = team
		c.order.teams = append(c.order.teams, team)
	}
}

func (p *parser) keys(c *Catalog, team *Team, texts []KeyText, path string) {
	for j, t := range texts {
		keyPath := fmt.Sprintf("%s/keys/%d", path, j)
		p.name(keyPath+"/id", t.ID)
		p.check(team.keyIDs.Add(t.ID), keyPath+"/id", "key id %q is listed twice", t.ID)
		raw, err := hex.DecodeString(t.SHA256)
		if err != nil || len(raw) != sha256.Size {
			p.check(false, keyPath+"/sha256", "the hash is not 64 hexadecimal digits")
			continue
		}
		sum := [sha256.Size]byte(raw)
		_, duplicate := c.keys[sum]
		p.check(!duplicate, keyPath+"/sha256", "the key is already given to this or another team")
		c.keys[sum] = keyOwner{team: team, id: t.ID}
	}
}
