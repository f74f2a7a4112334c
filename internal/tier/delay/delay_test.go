package delay_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"golang.org/x/net/netutil"

	"kumquatreel.example/kumquatreel/internal/tier/delay"
)

// measured is what a handler learns of its caller's connection.
type measured struct {
	time  time.Duration
	known bool
}

// ask sends a request to a server on a listener and returns what its handler learns.
func ask(t *testing.T, l net.Listener) measured {
	t.Helper()
	got := make(chan measured, 1)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		d, known := delay.RTT(r.Context())
		got <- measured{d, known}
	}))
	srv.Listener, srv.Config.ConnContext = l, delay.ConnContext
	srv.Start()
	defer srv.Close()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, srv.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := srv.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return <-got
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestTime(t *testing.T) {
	t.Run("is known on a wrapped connection", func(t *testing.T) {
		if m := ask(t, netutil.LimitListener(delay.NewListener(listen(t)), 9)); !m.known || m.time <= 0 {
			t.Errorf("time %v, known %t; want some time", m.time, m.known)
		}
	})
	t.Run("is not known on a connection that was not marked", func(t *testing.T) {
		if m := ask(t, listen(t)); m.known {
			t.Errorf("time %v, want none", m.time)
		}
	})
	t.Run("is not known without a connection", func(t *testing.T) {
		if _, known := delay.RTT(context.Background()); known {
			t.Error("known, want none")
		}
	})
}
