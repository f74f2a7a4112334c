package schema

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
)

// Catalog is one accepted configuration; it never changes.
type Catalog struct {
	revision int64
	text     []byte
	preset   Preset
	domains  map[ident.Domain]DomainState
	teams    map[ident.Team]*Team
	keys     map[[sha256.Size]byte]keyOwner
	servers  map[ident.Server]*Server
	services map[ident.Service]*Service
	routes   map[ident.Route]*Route
	order    order
}

type order struct {
	teams    []*Team
	servers  []*Server
	services []*Service
}

type keyOwner struct {
	team *Team
	id   string
}

// Revision returns the platform's number for this configuration.
func (c *Catalog) Revision() int64 { return c.revision }

// Bytes returns the published text, which must not be changed.
func (c *Catalog) Bytes() []byte { return c.text }

// Preset returns the preset in force.
func (c *Catalog) Preset() Preset { return c.preset }

// Domains returns the state of each failure domain, which must not be changed.
func (c *Catalog) Domains() map[ident.Domain]DomainState { return c.domains }

// DomainIn reports whether a failure domain may receive new work.
func (c *Catalog) DomainIn(d ident.Domain) bool {
	state, ok := c.domains[d]
	return ok && state != DomainOut
}

// Returning reports whether a backend server's failure domain comes back into service.
func (c *Catalog) Returning(s *Server) bool { return c.domains[s.domain] == DomainReturning }

// Teams returns the teams in published order.
func (c *Catalog) Teams() []*Team { return c.order.teams }

// Team returns a team by name, or nil.
func (c *Catalog) Team(name ident.Team) *Team { return c.teams[name] }

// Servers returns the backend servers in published order.
func (c *Catalog) Servers() []*Server { return c.order.servers }

// Server returns a backend server by name, or nil.
func (c *Catalog) Server(name ident.Server) *Server { return c.servers[name] }

// Services returns the services in published order.
func (c *Catalog) Services() []*Service { return c.order.services }

// Service returns a service by name, or nil.
func (c *Catalog) Service(name ident.Service) *Service { return c.services[name] }

// Route returns a route by name, or nil.
func (c *Catalog) Route(name ident.Route) *Route { return c.routes[name] }

// Usable reports whether a backend server may receive new work.
func (c *Catalog) Usable(s *Server) bool {
	return s != nil && s.state == ServerLive && c.DomainIn(s.domain)
}

// Authenticate returns the team and the id of a key, in time that does not depend on the key's text.
func (c *Catalog) Authenticate(key string) (*Team, string, bool) {
	sum := sha256.Sum256([]byte(key))
	owner, ok := c.keys[sum]
	if !ok || key == "" {
		return nil, "", false
	}
	return owner.team, owner.id, true
}

// Preset is the set of parameters for one kind of day.
type Preset struct {
	name           string
	extraLoad      float64
	hedgeQuantile  float64
	deadlineScale  float64
	rateScale      float64
	queuePerServer int
}

// Name returns the preset's name.
func (p Preset) Name() string { return p.name }

// ExtraLoad returns the share of parts that hedges and retries may add, as a fraction.
func (p Preset) ExtraLoad() float64 { return p.extraLoad }

// HedgeQuantile returns the quantile of part latency after which a hedge starts, zero for no hedges.
func (p Preset) HedgeQuantile() float64 { return p.hedgeQuantile }

// QueuePerServer returns how many parts may wait for one backend server.
func (p Preset) QueuePerServer() int { return p.queuePerServer }

// Team is an accepted team.
type Team struct {
	name     ident.Team
	weight   float64
	rate     float64
	burst    float64
	services []string
	keyIDs   sets.Set[string]
}

// Name returns the team's name.
func (t *Team) Name() ident.Team { return t.name }

// Weight returns the team's share when teams compete.
func (t *Team) Weight() float64 { return t.weight }

// Rate returns the team's requests per second over the whole fleet.
func (t *Team) Rate() float64 { return t.rate }

// Burst returns the team's burst over the whole fleet, in requests.
func (t *Team) Burst() float64 { return t.burst }

// HasKey reports whether the key with this id is still given.
func (t *Team) HasKey(id string) bool { return t.keyIDs.Has(id) }

// MayReach reports whether the team may use a service.
func (t *Team) MayReach(s ident.Service) bool {
	for _, pattern := range t.services {
		if match(pattern, string(s)) {
			return true
		}
	}
	return false
}

// Server is an accepted backend server.
type Server struct {
	name    ident.Server
	address string
	domain  ident.Domain
	state   ServerState
	service *Service
}

// Name returns the backend server's name.
func (s *Server) Name() ident.Server { return s.name }

// Address returns the host and port of the backend server.
func (s *Server) Address() string { return s.address }

// Domain returns the failure domain of the backend server.
func (s *Server) Domain() ident.Domain { return s.domain }

// State returns the published state of the backend server.
func (s *Server) State() ServerState { return s.state }

// Service returns the service that the backend server belongs to, or nil.
func (s *Server) Service() *Service { return s.service }

// Shard is one shard of a service's layout.
type Shard struct {
	weight  int
	servers []*Server
}

// Weight returns the number of documents in the shard.
func (s *Shard) Weight() int { return s.weight }

// Servers returns the shard's replicas, which must not be changed.
func (s *Shard) Servers() []*Server { return s.servers }

// Service is an accepted service.
type Service struct {
	name         ident.Service
	indexVersion int
	slots        int
	coldSlots    int
	connections  int
	warmAfter    int
	shards       []*Shard
}

// Name returns the service's name.
func (s *Service) Name() ident.Service { return s.name }

// IndexVersion returns the version that answers of this snapshot come from.
func (s *Service) IndexVersion() int { return s.indexVersion }

// Slots returns how many parts one backend server of the service runs at once.
func (s *Service) Slots() int { return s.slots }

// ColdSlots returns how many parts a backend server in a cold start can bear at once.
func (s *Service) ColdSlots() int { return s.coldSlots }

// Connections returns how many connections one backend server allows.
func (s *Service) Connections() int { return s.connections }

// WarmAfter returns how many good parts end a backend server's cold start.
func (s *Service) WarmAfter() int { return s.warmAfter }

// Shards returns the layout, which must not be changed.
func (s *Service) Shards() []*Shard { return s.shards }

// Route is an accepted route.
type Route struct {
	name          ident.Route
	services      []*Service
	idempotent    bool
	open          bool
	class         string
	deadline      time.Duration
	partDeadline  time.Duration
	minCoverage   float64
	earlyAfter    time.Duration
	earlyCoverage float64
}

// Name returns the route's name.
func (r *Route) Name() ident.Route { return r.name }

// Services returns the services that a request on the route reaches.
func (r *Route) Services() []*Service { return r.services }

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.idempotent }

// Open reports whether a request needs no key.
func (r *Route) Open() bool { return r.open }

// Class returns the route's class of requests, for metrics.
func (r *Route) Class() string { return r.class }

// Deadline returns how long a request may take.
func (r *Route) Deadline() time.Duration { return r.deadline }

// PartDeadline returns how long one part may run at a backend server.
func (r *Route) PartDeadline() time.Duration { return r.partDeadline }

// MinCoverage returns the coverage below which a request is refused, as a fraction.
func (r *Route) MinCoverage() float64 { return r.minCoverage }

// EarlyAfter returns the time after which a nearly whole answer is given, zero for never.
func (r *Route) EarlyAfter() time.Duration { return r.earlyAfter }

// EarlyCoverage returns the coverage that suffices once EarlyAfter has passed.
func (r *Route) EarlyCoverage() float64 { return r.earlyCoverage }

// VMs is one accepted list of VMs; it never changes.
type VMs struct {
	revision int64
	text     []byte
	all      []VM
}

// Revision returns the platform's number for this list.
func (v *VMs) Revision() int64 { return v.revision }

// Bytes returns the published text, which must not be changed.
func (v *VMs) Bytes() []byte { return v.text }

// All returns the VMs in published order, which must not be changed.
func (v *VMs) All() []VM { return v.all }

// VM is one entry of the list of VMs.
type VM struct {
	name   ident.VM
	caller string
	inner  string
	domain ident.Domain
	state  VMState
}

// Name returns the VM's name.
func (v VM) Name() ident.VM { return v.name }

// ClientAddress returns the host and port that callers use.
func (v VM) ClientAddress() string { return v.caller }

// InnerAddress returns the host and port that other VMs use.
func (v VM) InnerAddress() string { return v.inner }

// Domain returns the VM's failure domain.
func (v VM) Domain() ident.Domain { return v.domain }

// State returns the published state of the VM.
func (v VM) State() VMState { return v.state }

// HashKey returns the published form of a key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func match(pattern, name string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(name, prefix)
	}
	return pattern == name
}
