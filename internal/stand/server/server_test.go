package server_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/sets"
	"kumquatreel.example/kumquatreel/internal/node/owner"
	"kumquatreel.example/kumquatreel/internal/stand/server"
)

func newServer() *server.Server {
	return server.New(server.Model{
		Name: "s", Slots: 2, ColdSlots: 1, Connections: 8, MedianServiceTime: 10 * time.Millisecond, WarmAfter: 2, ColdFactor: 3,
		CrashDuration: time.Second, Versions: sets.SetOf(1), ItemsPerShard: 1,
	})
}

// part calls the handler with one part and returns its response.
func part(s *server.Server, version, deadlineMicros string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/shards/a/0", nil)
	r.Header.Set(owner.HeaderRequest, "r"+version)
	r.Header.Set(owner.HeaderVersion, version)
	r.Header.Set(owner.HeaderDeadline, deadlineMicros)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w
}

func assertStatus(t *testing.T, w *httptest.ResponseRecorder, status int, notRun string) {
	t.Helper()
	if w.Code != status || w.Header().Get(owner.HeaderNotRun) != notRun {
		t.Errorf("status %d, not run %q; want %d, %q", w.Code, w.Header().Get(owner.HeaderNotRun), status, notRun)
	}
}

func TestParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer()
		assertStatus(t, part(s, "1", "1000000"), http.StatusOK, "")
		assertStatus(t, part(s, "2", "1000000"), http.StatusConflict, "yes")
		assertStatus(t, part(s, "1", "1000"), http.StatusGatewayTimeout, "")
		s.SetDraining(true)
		assertStatus(t, part(s, "1", "1000000"), http.StatusServiceUnavailable, "yes")
	})
}

func TestOverrunColdServerFalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer()
		time.Sleep(time.Second)
		go part(s, "1", "1000000")
		synctest.Wait()
		go part(s, "1", "1000000")
		synctest.Wait()
		if r := s.Record(); r.ColdOverruns != 1 || r.Crashes != 1 {
			t.Errorf("record %+v; want one cold overrun and one crash", r)
		}
		assertStatus(t, part(s, "1", "1000000"), http.StatusServiceUnavailable, "yes")
		time.Sleep(2 * time.Second)
		assertStatus(t, part(s, "1", "1000000"), http.StatusOK, "")
	})
}

func TestHealthLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer()
		time.Sleep(time.Minute)
		healthy := func() bool {
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/health", nil))
			var h server.Health
			if err := json.Unmarshal(w.Body.Bytes(), &h); err != nil {
				t.Fatal(err)
			}
			return h.Healthy
		}
		s.Down(time.Hour)
		if !healthy() {
			t.Error("health reports the outage without the lag")
		}
		time.Sleep(11 * time.Second)
		if healthy() {
			t.Error("health does not report the outage after the lag")
		}
	})
}
