package header

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/units"
)

// Names holds the header names and paths of one platform. Header names are in canonical form.
type Names struct {
	// RequestID identifies one attempt of a client. Backend servers return it in their answers.
	RequestID string
	// RemainingMs is the time left until the deadline of a request, in milliseconds.
	RemainingMs string
	// Signature is the proof that a backend server produced the answer.
	Signature string
	// Team names the team that a request is made for.
	Team string
	// ExpectedServer names the only backend server that may run a request.
	ExpectedServer string
	// Server names the backend server that answered.
	Server string
	// Load is the load of a server, in the format of ParseLoad.
	Load string
	// NotRun marks the answer to a request that the server did not run.
	NotRun string
	// ColdMs is how much longer a server stays cold, in milliseconds.
	ColdMs string
	// Limit is the rate, in requests per second, that a server in need takes from the whole fleet, in the format of ParseRate.
	Limit string
	// Leaving is "1" in the answers of a server that leaves.
	Leaving string
	// PartSignatures lists the signatures of the parts of an answer merged from several shards.
	PartSignatures string
	// MissingParts is the number of shards missing from an answer.
	MissingParts string
	// ReadyPath is the path at which the platform asks whether a VM is ready.
	ReadyPath string
	// DirectoryPath is the path at which clients ask for addresses.
	DirectoryPath string
	// Directory holds the field names of a directory call.
	Directory DirectoryNames
}

// ForVMs reports whether a header of a server's answer is meant for VMs and is not forwarded to clients.
func (n Names) ForVMs(name string) bool {
	return name == n.Load || name == n.ColdMs || name == n.Limit || name == n.Leaving
}

// DirectoryNames holds the field names of a directory call and its answer.
type DirectoryNames struct {
	Domain     string
	Region     string
	Addresses  string
	TTLSeconds string
}

// DirectoryAnswer encodes the body of a directory answer: the addresses, and how long a client may cache them.
func (n Names) DirectoryAnswer(addresses []string, ttl time.Duration) ([]byte, error) {
	var b bytes.Buffer
	err := json.NewEncoder(&b).Encode(map[string]any{
		n.Directory.Addresses: addresses, n.Directory.TTLSeconds: ttl.Seconds(),
	})
	if err != nil {
		return nil, errors.Errorf("encode directory answer: %w", err)
	}
	return b.Bytes(), nil
}

const (
	// usualPace is the pace of a server whose work takes as long as usual.
	usualPace = 100
	// maxRequests is the largest number of requests or slots that is believed. Larger ones would overflow the expected latency.
	maxRequests = 1 << 20
	// maxPace is the largest pace that is believed.
	maxPace = 100 * usualPace
)

// Load is the load that a backend server reports: its running and waiting requests and its slots.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes on the server's machine at this moment, relative to the usual time, or 0 if the server does not tell.
	Pace float64
}

// ParseLoad parses a load of the form "running,waiting,slots" or "running,waiting,slots,pace". It returns false if the text is malformed or a
// count is negative or absurd. A pace that cannot be read counts as not told.
func ParseLoad(text string) (Load, bool) {
	running, rest, ok1 := strings.Cut(text, ",")
	waiting, rest, ok2 := strings.Cut(rest, ",")
	slots, pace, _ := strings.Cut(rest, ",")
	if !ok1 || !ok2 {
		return Load{}, false
	}
	var l Load
	for _, f := range []struct {
		text string
		dst  *int
	}{{running, &l.Running}, {waiting, &l.Waiting}, {slots, &l.Slots}} {
		n, err := strconv.Atoi(strings.TrimSpace(f.text))
		if err != nil || n < 0 || n > maxRequests {
			return Load{}, false
		}
		*f.dst = n
	}
	if n, err := strconv.ParseUint(strings.TrimSpace(pace), 10, 32); err == nil && n <= maxPace {
		l.Pace = float64(n) / usualPace
	}
	return l, true
}

// ParseMillis parses a duration in milliseconds, which may have a fraction. It returns false if the text is malformed,
// negative or too large for a time.Duration.
func ParseMillis(text string) (time.Duration, bool) {
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(n >= 0 && n < float64(math.MaxInt64/time.Millisecond)) {
		return 0, false
	}
	return units.Millis(n), true
}

// ParseRetryAfter parses the values of Retry-After, each a number of seconds that may have a fraction, and returns the longest. It returns
// false if there is none, or if one is malformed, negative or not finite. A time of day counts as malformed.
func ParseRetryAfter(values []string) (time.Duration, bool) {
	longest := time.Duration(0)
	for _, text := range values {
		n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || !(n >= 0) || math.IsInf(n, 1) {
			return 0, false
		}
		longest = max(longest, units.Seconds(n))
	}
	return longest, len(values) > 0
}

// ParseRate parses a rate per second, a decimal number. It returns false if the text is malformed, negative or not finite.
func ParseRate(text string) (float64, bool) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(rate >= 0) || math.IsInf(rate, 1) {
		return 0, false
	}
	return rate, true
}

// Target is a backend server and the address that requests to it are sent to.
type Target struct {
	Server  ident.Server
	Address string
}
