package trace

import (
	"sync"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

const (
	maxRequests = 2000
	maxSteps    = 1200
)

// Step is one thing that happened to a request.
type Step struct {
	Micros int64        `json:"micros"`
	Event  string       `json:"what"`
	Server ident.Server `json:"server,omitempty"`
	VM     ident.VM     `json:"vm,omitempty"`
	Part   int          `json:"part"`
	Note   string       `json:"note,omitempty"`
}

// Request is what happened to one request.
type Request struct {
	ID       string      `json:"id"`
	Team     ident.Team  `json:"team"`
	Route    ident.Route `json:"route"`
	Revision int64       `json:"revision"`
	Result   string      `json:"result"`
	Steps    []Step      `json:"steps"`
}

// AddStep appends a step unless there are too many.
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

// Put stores a finished request and drops the oldest one when there are too many.
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

// Get returns a stored request, or nil.
func (s *Store) Get(id string) *Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}
