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
)

// Names are the headers and paths of one platform; header names are in canonical form.
type Names struct {
	// RequestID names one attempt of a caller; backend servers return it.
	RequestID string
	// RemainingMs is the time that is left for a request, in milliseconds.
	RemainingMs string
	// Signature is a backend server's proof of its answer.
	Signature string
	// Team is the team for which a request runs.
	Team string
	// ExpectedServer names the only server that may run a request.
	ExpectedServer string
	// Server names the server that answers.
	Server string
	// Load tells how busy a server is.
	Load string
	// NotRun marks an answer to a request that did not run.
	NotRun string
	// ColdMs is how long a server stays cold, in milliseconds.
	ColdMs string
	// PartSignatures lists the signatures of the parts in an answer over shards.
	PartSignatures string
	// MissingParts is how many shards an answer lacks.
	MissingParts string
	// ReadyPath is where the platform asks whether a VM is ready.
	ReadyPath string
	// DirectoryPath is where callers ask for addresses.
	DirectoryPath string
	// Directory names the fields of a directory call.
	Directory DirectoryNames
}

// DirectoryNames are the fields of a directory call and its answer.
type DirectoryNames struct {
	Domain     string
	Region     string
	Addresses  string
	TTLSeconds string
}

// DirectoryAnswer returns the body that names addresses for a span.
func (n Names) DirectoryAnswer(addresses []string, keep time.Duration) ([]byte, error) {
	var b bytes.Buffer
	err := json.NewEncoder(&b).Encode(map[string]any{
		n.Directory.Addresses: addresses, n.Directory.TTLSeconds: keep.Seconds(),
	})
	if err != nil {
		return nil, errors.Errorf("encode directory answer: %w", err)
	}
	return b.Bytes(), nil
}

// Load is what a server says of its work.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// ParseLoad returns a load told as "running,waiting,slots", and false when it is malformed.
func ParseLoad(text string) (Load, bool) {
	running, rest, ok1 := strings.Cut(text, ",")
	waiting, slots, ok2 := strings.Cut(rest, ",")
	if !ok1 || !ok2 {
		return Load{}, false
	}
	var l Load
	for _, f := range []struct {
		text string
		into *int
	}{{running, &l.Running}, {waiting, &l.Waiting}, {slots, &l.Slots}} {
		n, err := strconv.Atoi(strings.TrimSpace(f.text))
		if err != nil || n < 0 {
			return Load{}, false
		}
		*f.into = n
	}
	return l, true
}

// ParseMillis returns a span told in milliseconds, and false when it is malformed.
func ParseMillis(text string) (time.Duration, bool) {
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(n >= 0 && n < float64(math.MaxInt64/time.Millisecond)) {
		return 0, false
	}
	return time.Duration(n * float64(time.Millisecond)), true
}

// Target is a backend server as a request is sent to it.
type Target struct {
	Server  ident.Server
	Address string
}
