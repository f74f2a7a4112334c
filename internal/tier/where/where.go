package where

import (
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/gather"
	"kumquatreel.example/kumquatreel/internal/tier/place"
)

// Page tells where a request would go. Times are in milliseconds.
type Page struct {
	VM            ident.VM    `json:"vm"`
	At            time.Time   `json:"at"`
	ConfigVersion int64       `json:"configVersion"`
	Route         ident.Route `json:"route"`
	Team          ident.Team  `json:"team,omitempty"`
	Priority      int         `json:"priority"`
	// Tokens is what is left to the team of its rate, as this VM sees it; nil if the team has no rate.
	Tokens *float64 `json:"tokens,omitempty"`
	// DueMs is the time until the answer must be written to be in time, EndMs that until the request ends.
	DueMs float64 `json:"dueMs"`
	EndMs float64 `json:"endMs"`
	// TypicalMs is the typical latency of a part, MaxWaitMs the longest wait in a server's queue.
	TypicalMs float64 `json:"typicalMs"`
	MaxWaitMs float64 `json:"maxWaitMs"`
	// Refused is why the request would be refused at once, empty if it would not. AgainMs is when servers are known to want requests again, 0 if
	// that is not known.
	Refused string  `json:"refused,omitempty"`
	AgainMs float64 `json:"againMs,omitempty"`
	// Parts are the parts in the order of the route, of which MinParts are needed.
	Parts    []Part `json:"parts"`
	MinParts int    `json:"minParts"`
}

// Part tells where one part of the request would go.
type Part struct {
	Service ident.Service `json:"service"`
	// Server is the server that would get the part now, empty if there is none. Capacity says whether the part would wait for one.
	Server   ident.Server    `json:"server,omitempty"`
	Capacity gather.Capacity `json:"capacity"`
	Servers  []Server        `json:"servers"`
}

// Server is a server that was considered for a part. PassedOver is none for an eligible one, of which the one with the lowest cost is chosen; costs
// that are nearly equal are decided at random.
type Server struct {
	Server     ident.Server `json:"server"`
	Domain     ident.Domain `json:"domain"`
	PassedOver place.Reason `json:"passedOver"`
	InFlight   int          `json:"inFlight"`
	WaitMs     float64      `json:"waitMs"`
	CostMs     float64      `json:"costMs"`
}
