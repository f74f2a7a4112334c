package schema

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
)

// Catalog is one accepted configuration. It is immutable.
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

// order holds the entries of a configuration in published order.
type order struct {
	teams    []*Team
	servers  []*Server
	services []*Service
}

// keyOwner is the team that an API key belongs to, and the published id of the key.
type keyOwner struct {
	team *Team
	id   string
}

// Revision returns the revision number that the platform gave this configuration.
func (c *Catalog) Revision() int64 { return c.revision }

// Bytes returns the published text; the caller must not modify it.
func (c *Catalog) Bytes() []byte { return c.text }

// Preset returns the preset in force.
func (c *Catalog) Preset() Preset { return c.preset }

// Domains returns the state of each failure domain; the caller must not modify the map.
func (c *Catalog) Domains() map[ident.Domain]DomainState { return c.domains }

// DomainIn reports whether a failure domain may receive new work.
func (c *Catalog) DomainIn(d ident.Domain) bool {
	state, ok := c.domains[d]
	return ok && state != DomainOut
}

// Returning reports whether a backend server's failure domain is in state DomainReturning.
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

// Authenticate returns the team and the id of a key, or false for an unknown or empty one. The lookup is by the
// key's SHA-256 hash, so that its time does not depend on the text of the key.
func (c *Catalog) Authenticate(key string) (*Team, string, bool) {
	sum := sha256.Sum256([]byte(key))
	owner, ok := c.keys[sum]
	if !ok || key == "" {
		return nil, "", false
	}
	return owner.team, owner.id, true
}

// Preset is a named set of load parameters; the configuration selects one.
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

// ExtraLoad returns the maximum number of hedges and retries as a fraction of the number of parts.
func (p Preset) ExtraLoad() float64 { return p.extraLoad }

// HedgeQuantile returns the quantile of part latency after which a hedge is sent, zero for no hedges.
func (p Preset) HedgeQuantile() float64 { return p.hedgeQuantile }

// QueuePerServer returns the maximum number of parts that wait for one backend server.
func (p Preset) QueuePerServer() int { return p.queuePerServer }

// Team is one team of a configuration.
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

// Weight returns the team's relative weight when teams compete for capacity.
func (t *Team) Weight() float64 { return t.weight }

// Rate returns the team's rate limit over the whole fleet, in requests per second.
func (t *Team) Rate() float64 { return t.rate }

// Burst returns the team's burst over the whole fleet, in requests.
func (t *Team) Burst() float64 { return t.burst }

// HasKey reports whether the configuration still lists the key with this id.
func (t *Team) HasKey(id string) bool { return t.keyIDs.Has(id) }

// MayReach reports whether the team is allowed to use a service.
func (t *Team) MayReach(s ident.Service) bool {
	for _, pattern := range t.services {
		if matchPattern(pattern, string(s)) {
			return true
		}
	}
	return false
}

// Server is one backend server of a configuration.
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

// Service returns the service that the backend server belongs to, or nil if no shard lists it.
func (s *Server) Service() *Service { return s.service }

// Shard is one shard of a service.
type Shard struct {
	weight  int
	servers []*Server
}

// Weight returns the number of documents in the shard.
func (s *Shard) Weight() int { return s.weight }

// Servers returns the backend servers that hold a replica of the shard; the caller must not modify the slice.
func (s *Shard) Servers() []*Server { return s.servers }

// Service is one service of a configuration.
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

// IndexVersion returns the index version from which answers of this snapshot are read.
func (s *Service) IndexVersion() int { return s.indexVersion }

// Slots returns how many parts one backend server of the service runs concurrently.
func (s *Service) Slots() int { return s.slots }

// ColdSlots returns how many parts a backend server may run concurrently during a cold start.
func (s *Service) ColdSlots() int { return s.coldSlots }

// Connections returns the maximum number of connections to one backend server.
func (s *Service) Connections() int { return s.connections }

// WarmAfter returns the number of successful parts after which a backend server's cold start ends.
func (s *Service) WarmAfter() int { return s.warmAfter }

// Shards returns the service's shards; the caller must not modify the slice.
func (s *Service) Shards() []*Shard { return s.shards }

// Route is one route of a configuration.
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

// Deadline returns the maximum duration of a request.
func (r *Route) Deadline() time.Duration { return r.deadline }

// PartDeadline returns the maximum duration of one part at a backend server.
func (r *Route) PartDeadline() time.Duration { return r.partDeadline }

// MinCoverage returns the coverage below which a request fails, as a fraction.
func (r *Route) MinCoverage() float64 { return r.minCoverage }

// EarlyAfter returns the time after which an answer with coverage EarlyCoverage is returned, zero for never.
func (r *Route) EarlyAfter() time.Duration { return r.earlyAfter }

// EarlyCoverage returns the coverage that is sufficient for an answer once EarlyAfter has elapsed, as a fraction.
func (r *Route) EarlyCoverage() float64 { return r.earlyCoverage }

// VMs is one accepted list of VMs. It is immutable.
type VMs struct {
	revision int64
	text     []byte
	all      []VM
}

// Revision returns the revision number that the platform gave this list.
func (v *VMs) Revision() int64 { return v.revision }

// Bytes returns the published text; the caller must not modify it.
func (v *VMs) Bytes() []byte { return v.text }

// All returns the VMs in published order; the caller must not modify the slice.
func (v *VMs) All() []VM { return v.all }

// VM is one entry of the list of VMs.
type VM struct {
	name   ident.VM
	client string
	inner  string
	domain ident.Domain
	state  VMState
}

// Name returns the VM's name.
func (v VM) Name() ident.VM { return v.name }

// ClientAddress returns the host and port that clients connect to.
func (v VM) ClientAddress() string { return v.client }

// InnerAddress returns the host and port that other VMs connect to.
func (v VM) InnerAddress() string { return v.inner }

// Domain returns the VM's failure domain.
func (v VM) Domain() ident.Domain { return v.domain }

// State returns the published state of the VM.
func (v VM) State() VMState { return v.state }

// HashKey returns the published form of an API key: its SHA-256 hash in hexadecimal digits.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// matchPattern reports whether a name equals the pattern, or has it as a prefix if the pattern ends in an asterisk.
func matchPattern(pattern, name string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(name, prefix)
	}
	return pattern == name
}
