package store

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=Mode -text -transform=title-lower -trimprefix=Mode -output=enums.go

// Mode selects how the platform answers reads.
type Mode int

// Modes of the platform: current values, errors, or the values held when the mode became stale.
const (
	ModeUp Mode = iota
	ModeDown
	ModeStale
)

// MaxValue is the maximum size of a value in bytes that Control accepts.
const MaxValue = 1 << 20

const maxWait = 10 * time.Second

// Platform is a stand-in for the platform.
type Platform struct {
	mu            sync.Mutex
	mode          Mode
	values        map[string]value
	staleValues   map[string]value
	previousTexts map[string]string
	changed       chan struct{}
	calls         int64
}

type value struct {
	revision int64
	text     string
}

// New returns a platform without values.
func New() *Platform {
	return &Platform{values: make(map[string]value), previousTexts: make(map[string]string), changed: make(chan struct{})}
}

// Put stores a value under the next revision of its key and returns the revision.
func (p *Platform) Put(key, text string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := p.values[key].revision + 1
	p.previousTexts[key] = p.values[key].text
	p.values[key] = value{revision: revision, text: text}
	p.notifyWatchers()
	return revision
}

// SetMode sets the mode. While it is ModeStale, reads return the values held when the mode was set.
func (p *Platform) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == ModeStale && p.mode != ModeStale {
		p.staleValues = make(map[string]value, len(p.values))
		for k, v := range p.values {
			p.staleValues[k] = v
		}
	}
	p.mode = mode
	p.notifyWatchers()
}

// Calls returns the number of reads and watches received since New.
func (p *Platform) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Handler serves reads and watches.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key}", p.read)
	return mux
}

// Control serves the control endpoints: put a value, set the mode and read the number of calls.
func (p *Platform) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /control/values/{key}", func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(io.LimitReader(r.Body, MaxValue+1))
		if err != nil || len(raw) > MaxValue {
			http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
			return
		}
		netio.WriteJSON(w, http.StatusOK, p.Put(r.PathValue("key"), string(raw)))
	})
	mux.HandleFunc("POST /control/mode/{mode}", func(w http.ResponseWriter, r *http.Request) {
		mode, err := ModeString(r.PathValue("mode"))
		if err != nil {
			http.Error(w, "no such mode", http.StatusBadRequest)
			return
		}
		p.SetMode(mode)
	})
	mux.HandleFunc("GET /control/calls", func(w http.ResponseWriter, _ *http.Request) {
		netio.WriteJSON(w, http.StatusOK, p.Calls())
	})
	return mux
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMillis"))
	ctx, cancel := context.WithTimeout(r.Context(), min(maxWait, time.Duration(wait)*time.Millisecond))
	defer cancel()
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	for {
		v, ok, mode, changed := p.lookup(r.PathValue("key"))
		switch {
		case mode == ModeDown:
			http.Error(w, "the platform is down", http.StatusBadGateway)
			return
		case ok && v.revision > after:
			netio.WriteJSON(w, http.StatusOK, map[string]any{"revision": v.revision, "value": v.text})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

func (p *Platform) lookup(key string) (value, bool, Mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.values[key]
	if p.mode == ModeStale {
		v, ok = p.staleValues[key]
	}
	return v, ok, p.mode, p.changed
}

// Forget sets ModeStale and makes reads of a key return its previous text under the given older revision, as a stale
// replica does.
func (p *Platform) Forget(key string, revision int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleValues = map[string]value{}
	for k, v := range p.values {
		p.staleValues[k] = v
	}
	p.staleValues[key] = value{revision: revision, text: p.previousTexts[key]}
	p.mode = ModeStale
	p.notifyWatchers()
}
