package server

import (
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/sets"
)

// Model says how a server behaves.
type Model struct {
	Name              ident.Server
	Slots             int
	ColdSlots         int
	Connections       int
	ConnectCost       time.Duration
	MedianServiceTime time.Duration
	// ServiceTimeSigma is the standard deviation of the logarithm of the service time.
	ServiceTimeSigma float64
	// StragglerFraction is the share of parts that take StraggleFactor times as long.
	StragglerFraction float64
	StragglerFactor   float64
	// WarmAfter is how many parts end a cold start, in which parts take ColdFactor times as long.
	WarmAfter  int
	ColdFactor float64
	// CrashDuration is how long the server is down after it was overrun.
	CrashDuration time.Duration
	// Versions are the index versions that the server can answer from.
	Versions sets.Set[int]
	// ItemsPerShard is the number of records in an answer.
	ItemsPerShard int
	Seed          uint64
}

// Record is what a server saw.
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
	Teams           map[string]int `json:"teams"`
}
