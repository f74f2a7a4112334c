package server

import (
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
)

// Model configures the behaviour of a server.
type Model struct {
	Name              ident.Server
	Slots             int
	ColdSlots         int
	Connections       int
	ConnectCost       time.Duration
	MedianServiceTime time.Duration
	// ServiceTimeSigma is the standard deviation of the natural logarithm of the service time.
	ServiceTimeSigma float64
	// StragglerFraction is the fraction of parts that take StragglerFactor times as long.
	StragglerFraction float64
	StragglerFactor   float64
	// WarmAfter is the number of completed parts that ends a cold start; until then, parts take ColdFactor times as long.
	WarmAfter  int
	ColdFactor float64
	// CrashDuration is how long the server is down after a cold overrun.
	CrashDuration time.Duration
	// Versions are the index versions that the server can answer from.
	Versions sets.Set[int]
	// ItemsPerShard is the number of items in an answer.
	ItemsPerShard int
	Seed          uint64
}

// Record holds the counters of a server since its creation.
type Record struct {
	Runs            int            `json:"runs"`
	RunsByRecord    map[string]int `json:"runsByRecord"`
	MaxInFlight     int            `json:"maxInFlight"`
	MaxConnections  int            `json:"maxConnections"`
	Connections     int            `json:"connectionsOpened"`
	OverConnections int            `json:"overConnections"`
	ColdOverruns    int            `json:"coldOverruns"`
	Crashes         int            `json:"falls"`
	Shed            int            `json:"shed"`
	Cancelled       int            `json:"cancelled"`
	Late            int            `json:"late"`
	KeysSeen        int            `json:"keysSeen"`
	LastStart       time.Time      `json:"lastStart"`
	// Arrivals holds the times of the parts that arrived while the server named a limit or a rest, refused ones included.
	Arrivals []time.Time    `json:"-"`
	Teams    map[string]int `json:"teams"`
}
