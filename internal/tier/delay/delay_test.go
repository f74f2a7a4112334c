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

// measurement is the result of RTT in a handler.
type measurement struct {
	rtt   time.Duration
	known bool
}

// measure sends a request to a server on a listener and returns the result of RTT in its handler.
func measure(t *testing.T, l net.Listener) measurement {
	t.Helper()
	got := make(chan measurement, 1)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		d, known := delay.RTT(r.Context())
		got <- measurement{d, known}
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
		if m := measure(t, netutil.LimitListener(delay.NewListener(listen(t)), 9)); !m.known || m.rtt <= 0 {
			t.Errorf("rtt is %v, known %t; want a positive one", m.rtt, m.known)
		}
	})
	t.Run("is not known on a connection that was not marked", func(t *testing.T) {
		if m := measure(t, listen(t)); m.known {
			t.Errorf("rtt is %v, want none", m.rtt)
		}
	})
	t.Run("is not known without a connection", func(t *testing.T) {
		if _, known := delay.RTT(context.Background()); known {
			t.Error("rtt is known, want none")
		}
	})
}
