//go:build review

package main

import "time"

const (
	// The bounds of the users' deployments: config-apply-ms and contact-ms.
	configApply = 3000 * time.Millisecond
	contact     = 4000 * time.Millisecond
	// checkBudget is the time budget of a request to one server.
	checkBudget = 1500 * time.Millisecond
)

func checkRoute(service string) map[string]any {
	return map[string]any{
		"name": "check", "host": hostName, "prefix": "/check/", "kind": "safe", "timeout-ms": checkBudget.Milliseconds(),
		"target-latency-ms": 250, "priority": 2, "service": service, "max-attempts": 2, "allow-anonymous": false,
	}
}

func serviceConfig(name string, coldPerSecond float64) map[string]any {
	return map[string]any{
		"name": name, "health-path": "/healthz", "max-connections": 110, "protocol": "h1", "tls": false, "warmup-s": 3.0,
		"warmup-per-s": coldPerSecond,
	}
}

func ranAt(replicas []*replica, id string) bool {
	for _, r := range replicas {
		if len(r.runsOf(id)) > 0 {
			return true
		}
	}
	return false
}

// ms rounds a time for the record.
func ms(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
