package table

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=Kind -trimprefix=Kind -transform=title-lower -output=enums.go

// Kind is how often a request of a route may run.
type Kind int

// Kinds of routes.
const (
	// KindOnce requests run at most once for each attempt of a client.
	KindOnce Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
)

// WeightedService is a service that gets a fraction of a route's requests in proportion to its weight.
type WeightedService struct {
	Service ident.Service
	Weight  float64
}

// RouteConfig is the published configuration of a route.
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

// ServiceConfig is the published configuration of a service.
//
// MaxConnections bounds the connections to each of its servers, over all VMs. ColdRate is the number of requests per second
// that a cold server may get, over all VMs.
type ServiceConfig struct {
	Name           ident.Service
	HealthPath     string
	MaxConnections int
	ColdFor        time.Duration
	ColdRate       float64
}

// TeamConfig is the published configuration of a team. Rate is in requests per second over the fleet, where 0 means no limit,
// and a Priority, if set, takes precedence over that of the route.
type TeamConfig struct {
	Name     ident.Team
	Keys     []string
	Rate     float64
	Burst    float64
	Priority *int
}

// Limits bound the size of client requests and the time that clients may take to send them.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is a published configuration.
type Config struct {
	Version  int64
	Routes   []RouteConfig
	Services []ServiceConfig
	Teams    []TeamConfig
	Limits   Limits
}

// Table is an immutable configuration with indexes for lookups.
type Table struct {
	config          Config
	hosts           map[string][]*Route
	services        map[ident.Service]ServiceConfig
	keys            map[string]*Team
	teams           map[ident.Team]*Team
	highestPriority int
}

// New returns the table for a published configuration.
func New(c Config) *Table {
	t := &Table{
		config: c, hosts: make(map[string][]*Route), services: make(map[ident.Service]ServiceConfig, len(c.Services)),
		keys: make(map[string]*Team), teams: make(map[ident.Team]*Team, len(c.Teams)),
	}
	routes := make([]*Route, len(c.Routes))
	for i, r := range c.Routes {
		host := strings.ToLower(r.Host)
		routes[i] = &Route{config: r}
		t.hosts[host] = append(t.hosts[host], routes[i])
	}
	for _, all := range t.hosts {
		slices.SortStableFunc(all, func(x, y *Route) int { return cmp.Compare(len(y.config.Prefix), len(x.config.Prefix)) })
	}
	urgencies := indexUrgency(routes)
	for _, r := range routes {
		r.urgency = urgencies
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	for _, team := range c.Teams {
		t.addTeam(team)
	}
	if len(c.Routes) > 0 {
		t.highestPriority = slices.MinFunc(c.Routes, func(x, y RouteConfig) int { return cmp.Compare(x.Priority, y.Priority) }).Priority
	}
	return t
}

func (t *Table) addTeam(c TeamConfig) {
	team := &Team{config: c}
	t.teams[c.Name] = team
	for _, k := range c.Keys {
		t.keys[k] = team
	}
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// Limits returns the limits on client requests.
func (t *Table) Limits() Limits { return t.config.Limits }

// Service returns the configuration of a service, or the zero value if the service is unknown.
func (t *Table) Service(name ident.Service) ServiceConfig { return t.services[name] }

// HighestPriority returns the highest priority of any route, which is the lowest number, or 0 if there are no routes.
func (t *Table) HighestPriority() int { return t.highestPriority }

// Team returns the team with the given name, or nil.
func (t *Table) Team(name ident.Team) *Team { return t.teams[name] }

// Teams returns the configurations of all teams.
func (t *Table) Teams() []TeamConfig { return t.config.Teams }

// RequiresKey reports whether requests need an API key, which is so if any team is configured.
func (t *Table) RequiresKey() bool { return len(t.config.Teams) > 0 }

// Routes returns the configurations of all routes.
func (t *Table) Routes() []RouteConfig { return t.config.Routes }

// TeamByKey returns the team that an API key belongs to, or nil.
func (t *Table) TeamByKey(key string) *Team { return t.keys[key] }

// Match returns the route of the host whose prefix is the longest that matches the path, or nil. The case of the host is ignored.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.config.Prefix) {
			return r
		}
	}
	return nil
}

// Route is one route of a table.
type Route struct {
	config RouteConfig
	// urgency holds that of each service; all routes of a table share it.
	urgency map[ident.Service]*urgency
}

// Name returns the route's name.
func (r *Route) Name() ident.Route { return r.config.Name }

// Kind returns how often a request of the route may run.
func (r *Route) Kind() Kind { return r.config.Kind }

// Timeout returns how long a request may wait for its answer, or 0 if there is no limit.
func (r *Route) Timeout() time.Duration { return r.config.Timeout }

// TargetLatency returns the latency up to which an answer has its full value, or 0 if none is set.
func (r *Route) TargetLatency() time.Duration { return r.config.TargetLatency }

// Priority returns the priority of the route's requests; 0 is the highest.
func (r *Route) Priority() int { return r.config.Priority }

// MaxAttempts returns how many servers of one service a request may run on; it is at least 1.
func (r *Route) MaxAttempts() int { return max(1, r.config.MaxAttempts) }

// AllowAnonymous reports whether requests need no API key.
func (r *Route) AllowAnonymous() bool { return r.config.AllowAnonymous }

// Shards returns the services that each answer a part of a request, or nil if one service gives the full answer.
func (r *Route) Shards() []ident.Service { return r.config.Shards }

// TopK returns how many records an answer merged from shards holds.
func (r *Route) TopK() int { return r.config.TopK }

// MinCoverage returns the smallest fraction of the shards with which an answer counts as a success.
func (r *Route) MinCoverage() float64 { return r.config.MinCoverage }

// Choose returns the service that a request is sent to. u is in [0,1) and uniform over requests; it decides between the
// services of a split by their weights.
func (r *Route) Choose(u float64) ident.Service {
	if len(r.config.Split) == 0 {
		return r.config.Service
	}
	total := 0.0
	for _, s := range r.config.Split {
		total += s.Weight
	}
	u *= total
	for _, s := range r.config.Split {
		if u < s.Weight {
			return s.Service
		}
		u -= s.Weight
	}
	return r.config.Split[len(r.config.Split)-1].Service
}

// Team is one team of a table.
type Team struct {
	config TeamConfig
}

// Name returns the team's name.
func (t *Team) Name() ident.Team { return t.config.Name }

// Rate returns how many requests per second the team may send over the fleet, or 0 if there is no limit.
func (t *Team) Rate() float64 { return t.config.Rate }

// Burst returns how many requests the team may send at once beyond its rate.
func (t *Team) Burst() float64 { return t.config.Burst }

// Priority returns the priority of the team's requests on a route: the team's own if it has one, otherwise the route's.
func (t *Team) Priority(r *Route) int {
	if t.config.Priority != nil {
		return *t.config.Priority
	}
	return r.Priority()
}
