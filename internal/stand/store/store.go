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

// Mode is how the platform behaves.
type Mode int

// The modes of the platform.
const (
	ModeUp Mode = iota
	ModeDown
	ModeStale
)

// MaxValue is the largest value held, in bytes.
const MaxValue = 1 << 20

const maxWait = 10 * time.Second

// Platform is a stand-in for the platform.
type Platform struct {
	mu      sync.Mutex
	mode    Mode
	values  map[string]value
	old     map[string]value
	before  map[string]string
	changed chan struct{}
	calls   int64
}

type value struct {
	revision int64
	text     string
}

// New returns a platform without values.
func New() *Platform {
	return &Platform{values: make(map[string]value), before: make(map[string]string), changed: make(chan struct{})}
}

// Put publishes a value under the next revision of its key and returns the revision.
func (p *Platform) Put(key, text string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := p.values[key].revision + 1
	p.before[key] = p.values[key].text
	p.values[key] = value{revision: revision, text: text}
	p.signal()
	return revision
}

// SetMode changes the platform's behaviour; while it is stale, reads see the values of this moment.
func (p *Platform) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == ModeStale && p.mode != ModeStale {
		p.old = make(map[string]value, len(p.values))
		for k, v := range p.values {
			p.old[k] = v
		}
	}
	p.mode = mode
	p.signal()
}

// Calls returns the number of reads and watches so far.
func (p *Platform) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *Platform) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Handler serves reads and watches.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key}", p.read)
	return mux
}

// Control serves the switches of the stand-in.
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
		v, ok, mode, changed := p.look(r.PathValue("key"))
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

func (p *Platform) look(key string) (value, bool, Mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.values[key]
	if p.mode == ModeStale {
		v, ok = p.old[key]
	}
	return v, ok, p.mode, p.changed
}

// Forget makes reads of a key answer with an older revision that was published before, as a stale replica does.
func (p *Platform) Forget(key string, revision int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.old = map[string]value{}
	for k, v := range p.values {
		p.old[k] = v
	}
	p.old[key] = value{revision: revision, text: p.before[key]}
	p.mode = ModeStale
	p.signal()
}
