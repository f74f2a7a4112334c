package belief

import (
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=What,Source -trimprefix=What,Source -transform=title-lower -text -output=enums.go

// What is a reason why a server gets no requests, or only those that no other server can take.
type What int

// The reasons.
const (
	// WhatLeaving means that the server leaves.
	WhatLeaving What = iota
	// WhatRemoved means that the server's entry was removed from the store.
	WhatRemoved
	// WhatResting means that the server wants no requests for a time.
	WhatResting
	// WhatCold means that the server has started lately and takes few requests.
	WhatCold
	// WhatLimited means that the limit which the server names allows no further request now.
	WhatLimited
	// WhatBackoff means that the server did not answer or could not be reached.
	WhatBackoff
	// WhatDomainOut means that the server's failure domain is out of service.
	WhatDomainOut
)

// Source is where a belief comes from.
type Source int

// The sources.
const (
	// SourceServer is the server itself, in its answers or by their absence.
	SourceServer Source = iota
	// SourceStore is the platform's store.
	SourceStore
	// SourceOtherVM is another VM, which heard it from the server.
	SourceOtherVM
)

// Reason is one reason, with its source.
type Reason struct {
	What   What   `json:"what"`
	Source Source `json:"source"`
	// AgeMs is how long the VM has believed it, 0 if that is not known, and ForMs for how much longer it will without news, 0 if that has no
	// end.
	AgeMs int64 `json:"ageMs,omitempty"`
	ForMs int64 `json:"forMs,omitempty"`
}

// Server is what the VM believes of a backend server.
type Server struct {
	Server   ident.Server  `json:"server"`
	Service  ident.Service `json:"service"`
	Domain   ident.Domain  `json:"domain"`
	Address  string        `json:"address"`
	Revision int64         `json:"revision"`
	Started  int64         `json:"started"`
	InFlight int           `json:"inFlight"`
	Reasons  []Reason      `json:"reasons,omitempty"`
	// Load is the freshest news of its load, nil if there is none.
	Load *Load `json:"load,omitempty"`
}

// Load is what the VM has heard last of the load of a server.
type Load struct {
	// Requests is the number of requests that run or wait at the server, Pace how long work takes relative to the usual time, 0 if not told.
	Requests int     `json:"requests"`
	Pace     float64 `json:"pace,omitempty"`
	// Stalled says that another VM waits for the server in vain.
	Stalled bool   `json:"stalled,omitempty"`
	Source  Source `json:"source"`
	AgeMs   int64  `json:"ageMs"`
}

// Team is what the VM believes of a team. Its keys are not shown.
type Team struct {
	Team   ident.Team `json:"team"`
	Rate   float64    `json:"rate"`
	Burst  float64    `json:"burst"`
	Tokens float64    `json:"tokens"`
}

// VM is what the VM believes of another one.
type VM struct {
	VM       ident.VM     `json:"vm"`
	Domain   ident.Domain `json:"domain"`
	Phase    string       `json:"phase"`
	Alive    bool         `json:"alive"`
	Core     bool         `json:"core"`
	AgeMs    int64        `json:"ageMs"`
	Era      int64        `json:"era"`
	Revision int64        `json:"revision"`
	Watching bool         `json:"watching"`
}

// Store is what the VM believes of the platform's store.
type Store struct {
	Era           int64 `json:"era"`
	Revision      int64 `json:"revision"`
	ConfigVersion int64 `json:"configVersion"`
	// AgeMs is the time since the VM's copy of the store was last known to be complete.
	AgeMs int64 `json:"ageMs"`
	// Watching says that this VM watches the store, Holding that it holds items which the store has lost.
	Watching bool `json:"watching"`
	Holding  bool `json:"holding"`
	// Refused is the last configuration that could not be used since the one in force was published, nil if there is none.
	Refused *Refused `json:"refused,omitempty"`
}

// Refused is a published configuration that the VM does not use.
type Refused struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Reason   string `json:"reason"`
}

// Page holds the beliefs of a VM.
type Page struct {
	VM      ident.VM  `json:"vm"`
	At      time.Time `json:"at"`
	Store   Store     `json:"store"`
	Servers []Server  `json:"servers"`
	Teams   []Team    `json:"teams"`
	VMs     []VM      `json:"vms"`
	// LeftOut is the number of servers, teams and VMs that are not in the page because it would be too long.
	LeftOut int `json:"leftOut,omitempty"`
}
