package trace

import (
	"sync"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

// The bounds on the memory that traces use: requests in a Store and steps of one request.
const (
	maxRequests = 2000
	maxSteps    = 1200
)

// Step is one event in the course of a request; Micros is the time since the request arrived. Event is one of
// send, cancel, answered and failed, and Part is the index of the part in the plan.
type Step struct {
	Micros int64        `json:"micros"`
	Event  string       `json:"what"`
	Server ident.Server `json:"server,omitempty"`
	VM     ident.VM     `json:"vm,omitempty"`
	Part   int          `json:"part"`
	Note   string       `json:"note,omitempty"`
}

// Request is the trace of one request.
type Request struct {
	ID       string      `json:"id"`
	Team     ident.Team  `json:"team"`
	Route    ident.Route `json:"route"`
	Revision int64       `json:"revision"`
	Result   string      `json:"result"`
	Steps    []Step      `json:"steps"`
}

// AddStep appends a step, or drops it when the request already has maxSteps of them.
func (r *Request) AddStep(s Step) {
	if len(r.Steps) < maxSteps {
		r.Steps = append(r.Steps, s)
	}
}

// Store keeps the most recent requests; the zero value is ready to use.
type Store struct {
	mu    sync.Mutex
	byID  map[string]*Request
	order []string
}

// Put stores a finished request and evicts the oldest one when more than maxRequests are stored.
func (s *Store) Put(r *Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = make(map[string]*Request)
	}
	s.byID[r.ID] = r
	s.order = append(s.order, r.ID)
	if len(s.order) > maxRequests {
		delete(s.byID, s.order[0])
		s.order = s.order[1:]
	}
}

// Get returns the request with an ID, or nil when none is stored.
func (s *Store) Get(id string) *Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}
