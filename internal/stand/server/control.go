package server

import (
	"net/http"
	"time"

	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

// healthLag is the minimum age of the state that the health endpoint reports.
const healthLag = 10 * time.Second

// Health is the state that a server reports about itself, delayed by healthLag. A cold server reports itself as healthy.
type Health struct {
	Healthy bool    `json:"healthy"`
	Load    float64 `json:"load"`
}

// health serves the state recorded by an earlier health request, at least healthLag old, so that owners cannot rely on it.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.healthUpdatedAt) >= healthLag {
		s.healthUpdatedAt, s.reportedHealth = time.Now(), s.nextHealth
		s.nextHealth = Health{
			Healthy: !time.Now().Before(s.downUntil) && !s.draining,
			Load:    float64(s.inFlight) / float64(s.model.Slots),
		}
	}
	netio.WriteJSON(w, http.StatusOK, s.reportedHealth)
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
