package schema

import "kumquatreel.example/kumquatreel/internal/base/ident"

// Text is the published form of a configuration.
type Text struct {
	Preset   string                       `json:"preset"`
	Presets  map[string]PresetText        `json:"presets"`
	Domains  map[ident.Domain]DomainState `json:"domains"`
	Teams    []TeamText                   `json:"teams"`
	Servers  []ServerText                 `json:"servers"`
	Services []ServiceText                `json:"services"`
	Routes   []RouteText                  `json:"routes"`
}

// PresetText is the published form of a preset.
type PresetText struct {
	ExtraLoadPercent float64 `json:"extraLoadPercent"`
	HedgeQuantile    float64 `json:"hedgeQuantile"`
	DeadlinePercent  int     `json:"deadlinePercent"`
	RatePercent      int     `json:"ratePercent"`
	QueuePerServer   int     `json:"queuePerServer"`
}

// KeyText is the published form of an API key. It holds the key's hash instead of the key.
type KeyText struct {
	ID     string `json:"id"`
	SHA256 string `json:"sha256"`
}

// TeamText is the published form of a team. Rate is in requests per second, Burst in requests.
type TeamText struct {
	Name     ident.Team `json:"name"`
	Weight   float64    `json:"weight"`
	Rate     float64    `json:"rate"`
	Burst    float64    `json:"burst"`
	Services []string   `json:"services"`
	Keys     []KeyText  `json:"keys"`
}

// ServerText is the published form of a backend server.
type ServerText struct {
	Name    ident.Server `json:"name"`
	Address string       `json:"address"`
	Domain  ident.Domain `json:"domain"`
	State   ServerState  `json:"state"`
}

// ShardText is the published form of a shard. Weight is its number of documents.
type ShardText struct {
	Weight  int            `json:"weight"`
	Servers []ident.Server `json:"servers"`
}

// ServiceText is the published form of a service.
type ServiceText struct {
	Name         ident.Service `json:"name"`
	IndexVersion int           `json:"indexVersion"`
	Slots        int           `json:"slots"`
	ColdSlots    int           `json:"coldSlots"`
	Connections  int           `json:"connections"`
	WarmAfter    int           `json:"warmAfter"`
	Shards       []ShardText   `json:"shards"`
}

// RouteText is the published form of a route.
type RouteText struct {
	Name               ident.Route `json:"name"`
	Services           []string    `json:"services"`
	Idempotent         bool        `json:"idempotent"`
	Open               bool        `json:"open"`
	Class              string      `json:"class"`
	DeadlineMillis     int         `json:"deadlineMillis"`
	MinCoverage        float64     `json:"minCoverage"`
	EarlyAfterMillis   int         `json:"earlyAfterMillis"`
	EarlyCoverage      float64     `json:"earlyCoverage"`
	PartDeadlineMillis int         `json:"partDeadlineMillis"`
}

// VMText is the published form of one VM.
type VMText struct {
	Name   ident.VM     `json:"name"`
	Client string       `json:"caller"`
	Inner  string       `json:"inner"`
	Domain ident.Domain `json:"domain"`
	State  VMState      `json:"state"`
}

// VMListText is the published form of the list of VMs.
type VMListText struct {
	VMs []VMText `json:"vms"`
}
