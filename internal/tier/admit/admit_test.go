package admit_test

import (
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/tier/admit"
)

func assertBetween(t *testing.T, what string, got, minWant, maxWant time.Duration) {
	t.Helper()
	if got < minWant || got > maxWant {
		t.Errorf("%s is %v, want %v to %v", what, got, minWant, maxWant)
	}
}

// All VMs have started together: a client with a short budget must still have time for its answer, and one with a long budget must not
// be held for seconds.
func TestStartupWait(t *testing.T) {
	for _, remaining := range []time.Duration{40 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 8 * time.Second} {
		assertBetween(t, "wait of "+remaining.String(), admit.StartupWait(remaining), 0, min(remaining/3, time.Second))
	}
	assertBetween(t, "wait without a stated time", admit.StartupWait(0), 50*time.Millisecond, time.Second)
}
