package server

import (
	"net/http"
	"time"

	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

// healthLag is how far a server's own word of its health lies behind.
const healthLag = 10 * time.Second

// Health is what a server says of itself, as it was some time ago; a cold server calls itself healthy.
type Health struct {
	Healthy bool    `json:"healthy"`
	Load    float64 `json:"load"`
}

// health answers with the state of the last time that the lag had passed, so that it lags and misleads.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.healthAt) >= healthLag {
		s.healthAt, s.healthWas = time.Now(), s.healthNow
		s.healthNow = Health{
			Healthy: !time.Now().Before(s.downUntil) && !s.draining,
			Load:    float64(s.inFlight) / float64(s.model.Slots),
		}
	}
	netio.WriteJSON(w, http.StatusOK, s.healthWas)
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	switch r.PathValue("action") {
	case "warm":
		s.Warm()
	case "cold":
		s.BecomeCold(false)
	case "restart":
		s.BecomeCold(true)
	case "drain":
		s.SetDraining(true)
	case "fault":
		var f Fault
		if err := netio.ReadJSON(r.Body, maxBody, &f); err != nil {
			http.Error(w, "malformed fault", http.StatusBadRequest)
			return
		}
		s.SetFault(f)
	case "versions":
		var versions []int
		if err := netio.ReadJSON(r.Body, maxBody, &versions); err != nil {
			http.Error(w, "malformed versions", http.StatusBadRequest)
			return
		}
		s.SetVersions(versions...)
	default:
		http.NotFound(w, r)
	}
}
