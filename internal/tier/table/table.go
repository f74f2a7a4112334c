package table

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=Kind -trimprefix=Kind -transform=title-lower -output=enums.go

// Kind says how often a request of a route may run.
type Kind int

// The kinds of routes.
const (
	// KindOnce requests run at most once for each attempt of a caller.
	KindOnce Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
)

// WeightedService is the part of a route's requests that a service gets.
type WeightedService struct {
	Service ident.Service
	Weight  float64
}

// RouteConfig is a route as it was published.
type RouteConfig struct {
	Name           ident.Route
	Host           string
	Prefix         string
	Kind           Kind
	Timeout        time.Duration
	TargetLatency  time.Duration
	Priority       int
	Service        ident.Service
	Split          []WeightedService
	Shards         []ident.Service
	MaxAttempts    int
	AllowAnonymous bool
	TopK           int
	MinCoverage    float64
	Regions        []string
}

// ServiceConfig is what was published of a service.
type ServiceConfig struct {
	Name           ident.Service
	HealthPath     string
	MaxConnections int
	ColdFor        time.Duration
	ColdRate       float64
}

// TeamConfig is a team as it was published; Rate is in requests per second, and 0 means no limit.
type TeamConfig struct {
	Name     ident.Team
	Keys     []string
	Rate     float64
	Burst    float64
	Priority *int
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is a configuration as it was published.
type Config struct {
	Version  int64
	Routes   []RouteConfig
	Services []ServiceConfig
	Teams    []TeamConfig
	Limits   Limits
}

// Table is a configuration in force; it does not change.
type Table struct {
	text     Config
	hosts    map[string][]*Route
	services map[ident.Service]ServiceConfig
	keys     map[string]*Team
	teams    map[ident.Team]*Team
	urgent   int
}

// New returns the table of a published configuration.
func New(t Config) *Table {
	b := &Table{
		text: t, hosts: make(map[string][]*Route), services: make(map[ident.Service]ServiceConfig, len(t.Services)),
		keys: make(map[string]*Team), teams: make(map[ident.Team]*Team, len(t.Teams)),
	}
	for _, r := range t.Routes {
		host := strings.ToLower(r.Host)
		b.hosts[host] = append(b.hosts[host], &Route{text: r})
	}
	for _, routes := range b.hosts {
		slices.SortStableFunc(routes, func(x, y *Route) int { return cmp.Compare(len(y.text.Prefix), len(x.text.Prefix)) })
	}
	for _, s := range t.Services {
		b.services[s.Name] = s
	}
	for _, team := range t.Teams {
		b.addTeam(team)
	}
	if len(t.Routes) > 0 {
		b.urgent = slices.MinFunc(t.Routes, func(x, y RouteConfig) int { return cmp.Compare(x.Priority, y.Priority) }).Priority
	}
	return b
}

func (b *Table) addTeam(t TeamConfig) {
	team := &Team{text: t}
	b.teams[t.Name] = team
	for _, k := range t.Keys {
		b.keys[k] = team
	}
}

// Version returns the version of the configuration.
func (b *Table) Version() int64 { return b.text.Version }

// Limits returns what callers are held to.
func (b *Table) Limits() Limits { return b.text.Limits }

// Service returns what was published of a service, or the zero value.
func (b *Table) Service(name ident.Service) ServiceConfig { return b.services[name] }

// HighestPriority returns the highest rank of any route, which is the lowest number.
func (b *Table) HighestPriority() int { return b.urgent }

// Team returns a team by name, or nil.
func (b *Table) Team(name ident.Team) *Team { return b.teams[name] }

// Teams returns the published teams.
func (b *Table) Teams() []TeamConfig { return b.text.Teams }

// RequiresKey reports whether requests need a key.
func (b *Table) RequiresKey() bool { return len(b.text.Teams) > 0 }

// Routes returns the published routes.
func (b *Table) Routes() []RouteConfig { return b.text.Routes }

// TeamByKey returns the team that holds a key, or nil.
func (b *Table) TeamByKey(key string) *Team { return b.keys[key] }

// Match returns the route with the longest prefix of a path on a host, whose case does not matter, or nil.
func (b *Table) Match(host, path string) *Route {
	for _, r := range b.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.text.Prefix) {
			return r
		}
	}
	return nil
}

// Route is one route of a table.
type Route struct {
	text RouteConfig
}

// Name returns the route's name.
func (r *Route) Name() ident.Route { return r.text.Name }

// Kind returns how often a request may run.
func (r *Route) Kind() Kind { return r.text.Kind }

// Timeout returns how long a request may be kept waiting, 0 for no bound.
func (r *Route) Timeout() time.Duration { return r.text.Timeout }

// TargetLatency returns the time within which an answer has its full worth, 0 where none is set.
func (r *Route) TargetLatency() time.Duration { return r.text.TargetLatency }

// Priority returns the rank of the route's requests; 0 is the highest.
func (r *Route) Priority() int { return r.text.Priority }

// MaxAttempts returns how many servers of one service a request may run on, at least 1.
func (r *Route) MaxAttempts() int { return max(1, r.text.MaxAttempts) }

// AllowAnonymous reports whether requests need no key.
func (r *Route) AllowAnonymous() bool { return r.text.AllowAnonymous }

// Shards returns the services that each hold a part of the answer, or nil for a route to one service.
func (r *Route) Shards() []ident.Service { return r.text.Shards }

// TopK returns how many records an answer over shards holds.
func (r *Route) TopK() int { return r.text.TopK }

// MinCoverage returns the least share of the shards with which an answer is a success.
func (r *Route) MinCoverage() float64 { return r.text.MinCoverage }

// Choose returns the service that gets a request, given a number in [0,1) that is uniform over requests.
func (r *Route) Choose(at float64) ident.Service {
	if len(r.text.Split) == 0 {
		return r.text.Service
	}
	sum := 0.0
	for _, s := range r.text.Split {
		sum += s.Weight
	}
	at *= sum
	for _, s := range r.text.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.text.Split[len(r.text.Split)-1].Service
}

// Team is one team of a table.
type Team struct {
	text TeamConfig
}

// Name returns the team's name.
func (t *Team) Name() ident.Team { return t.text.Name }

// Rate returns the team's requests per second over the fleet, 0 for no limit.
func (t *Team) Rate() float64 { return t.text.Rate }

// Burst returns how many requests the team may send beyond its rate.
func (t *Team) Burst() float64 { return t.text.Burst }

// Priority returns the priority of a request of the team on a route; the team's own goes first.
func (t *Team) Priority(r *Route) int {
	if t.text.Priority != nil {
		return *t.text.Priority
	}
	return r.Priority()
}
