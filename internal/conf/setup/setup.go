package setup

import (
	"net"
	"strconv"
	"time"

	"github.com/charmbracelet/log"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/jsonc"
)

// Values used where a settings file leaves a field out.
const (
	defaultCPUShare     = 1.0
	defaultOpenFiles    = 1024
	defaultDrainMillis  = 3000
	defaultGraceSeconds = 6.0
	defaultRepeatRatio  = 0.1
	defaultRepeatWindow = 10.0
	defaultRepeatSlack  = 10.0
	defaultKeepMost     = 5.0
	defaultLogLevel     = "info"
)

// Text is the form of a settings file.
type Text struct {
	Name               string       `json:"name"`
	Domain             ident.Domain `json:"domain"`
	Region             string       `json:"region"`
	Address            string       `json:"address"`
	Clients            string       `json:"callers"`
	Ready              string       `json:"ready"`
	Peers              string       `json:"peers"`
	Directory          string       `json:"directory"`
	Metrics            string       `json:"metrics"`
	GossipPort         int          `json:"gossipPort"`
	Seeds              []string     `json:"seeds"`
	Store              string       `json:"store"`
	CPUShare           float64      `json:"cpuShare"`
	MaxOpenFiles       int          `json:"maxOpenFiles"`
	DrainMillis        int          `json:"drainMillis"`
	GraceSeconds       float64      `json:"graceSeconds"`
	RetryRatio         float64      `json:"repeatRatio"`
	RetryWindowSeconds float64      `json:"repeatWindowSeconds"`
	RetrySlack         float64      `json:"repeatSlack"`
	MaxKeepSeconds     float64      `json:"keepSecondsMost"`
	LogLevel           string       `json:"logLevel"`
}

// Settings is the checked form of a settings file.
type Settings struct {
	text Text
}

// Load reads the settings in a file and returns jsonc.FaultErrors inside the error when they are not sound.
func Load(path string) (s Settings, err error) {
	err = jsonc.Load(path, func(text []byte) error {
		s, err = Parse(text)
		return err
	})
	return s, err
}

// Parse returns the settings in text, or jsonc.FaultErrors that name everything wrong with it.
func Parse(text []byte) (s Settings, err error) {
	var t Text
	err = jsonc.Check(text, &t, func() (faults jsonc.FaultErrors) {
		s, faults = New(t)
		return faults
	})
	return s, err
}

// New checks settings given in the program, fills in defaults and returns every fault found.
func New(t Text) (Settings, jsonc.FaultErrors) {
	fill(&t)
	var faults jsonc.FaultErrors
	check := func(ok bool, path, format string, args ...any) {
		if !ok {
			faults = append(faults, jsonc.NewFault(path, format, args...))
		}
	}
	check(t.Name != "", "/name", "the VM has no name")
	check(t.Domain != "", "/domain", "the VM has no failure domain")
	check(net.ParseIP(t.Address) != nil, "/address", "%q is not an IP number", t.Address)
	for _, a := range []struct{ path, address string }{
		{"/callers", t.Clients},
		{"/ready", t.Ready},
		{"/peers", t.Peers},
		{"/directory", t.Directory},
		{"/metrics", t.Metrics},
		{"/store", t.Store},
	} {
		check(isAddress(a.address), a.path, "%q is not IP:port", a.address)
	}
	for i, s := range t.Seeds {
		check(isAddress(s), "/seeds/"+strconv.Itoa(i), "%q is not IP:port", s)
	}
	check(t.GossipPort > 0 && t.GossipPort < 1<<16, "/gossipPort", "%d is not a port", t.GossipPort)
	for _, n := range []struct {
		path  string
		value float64
	}{
		{"/cpuShare", t.CPUShare},
		{"/maxOpenFiles", float64(t.MaxOpenFiles)},
		{"/drainMillis", float64(t.DrainMillis)},
		{"/graceSeconds", t.GraceSeconds},
		{"/repeatWindowSeconds", t.RetryWindowSeconds},
		{"/keepSecondsMost", t.MaxKeepSeconds},
	} {
		check(n.value > 0, n.path, "%v is not above 0", n.value)
	}
	check(t.RetryRatio >= 0, "/repeatRatio", "%v is below 0", t.RetryRatio)
	check(t.RetrySlack >= 0, "/repeatSlack", "%v is below 0", t.RetrySlack)
	_, err := log.ParseLevel(t.LogLevel)
	check(err == nil, "/logLevel", "%q is not debug, info, warn or error", t.LogLevel)
	return Settings{text: t}, faults
}

func isAddress(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil
}

func fill(t *Text) {
	number := func(p *float64, v float64) {
		if *p == 0 {
			*p = v
		}
	}
	whole := func(p *int, v int) {
		if *p == 0 {
			*p = v
		}
	}
	number(&t.CPUShare, defaultCPUShare)
	whole(&t.MaxOpenFiles, defaultOpenFiles)
	whole(&t.DrainMillis, defaultDrainMillis)
	number(&t.GraceSeconds, defaultGraceSeconds)
	number(&t.RetryRatio, defaultRepeatRatio)
	number(&t.RetryWindowSeconds, defaultRepeatWindow)
	number(&t.RetrySlack, defaultRepeatSlack)
	number(&t.MaxKeepSeconds, defaultKeepMost)
	if t.LogLevel == "" {
		t.LogLevel = defaultLogLevel
	}
}

// Name returns the VM's name.
func (s Settings) Name() ident.VM { return ident.VM(s.text.Name) }

// Domain returns the VM's failure domain.
func (s Settings) Domain() ident.Domain { return s.text.Domain }

// Region returns the region of the failure domain.
func (s Settings) Region() string { return s.text.Region }

// Address returns the VM's IP number.
func (s Settings) Address() string { return s.text.Address }

// ClientAddress returns the address for callers.
func (s Settings) ClientAddress() string { return s.text.Clients }

// ReadyAddress returns the address on which the platform asks whether the VM is ready.
func (s Settings) ReadyAddress() string { return s.text.Ready }

// PeerAddress returns the address for other VMs.
func (s Settings) PeerAddress() string { return s.text.Peers }

// DirectoryAddress returns the address on which callers ask where to connect.
func (s Settings) DirectoryAddress() string { return s.text.Directory }

// MetricsAddress returns the address on which metrics are served.
func (s Settings) MetricsAddress() string { return s.text.Metrics }

// GossipPort returns the UDP port on which VMs exchange heartbeats; it is the same on all VMs.
func (s Settings) GossipPort() int { return s.text.GossipPort }

// Seeds returns the addresses for other VMs at which a new VM finds the fleet; some may be stale.
func (s Settings) Seeds() []string { return s.text.Seeds }

// StoreAddress returns the address of the platform's store.
func (s Settings) StoreAddress() string { return s.text.Store }

// CPUShare returns how much of a core the VM has.
func (s Settings) CPUShare() float64 { return s.text.CPUShare }

// MaxOpenFiles returns how many descriptors the process may have.
func (s Settings) MaxOpenFiles() int { return s.text.MaxOpenFiles }

// DrainPeriod returns how long a backend server goes on serving after it has said that it leaves.
func (s Settings) DrainPeriod() time.Duration {
	return time.Duration(s.text.DrainMillis) * time.Millisecond
}

// GracePeriod returns how long a process may run after it is told to stop.
func (s Settings) GracePeriod() time.Duration { return seconds(s.text.GraceSeconds) }

// RetryRatio returns the share of a service's requests that may be sent a second time.
func (s Settings) RetryRatio() float64 { return s.text.RetryRatio }

// RetryWindow returns the span over which repeats are counted.
func (s Settings) RetryWindow() time.Duration { return seconds(s.text.RetryWindowSeconds) }

// RetrySlack returns how many repeats of a service's requests the whole fleet may send in a window beside the ratio.
func (s Settings) RetrySlack() float64 { return s.text.RetrySlack }

// MaxDirectoryTTL returns the longest time for which a caller may keep a directory answer.
func (s Settings) MaxDirectoryTTL() time.Duration { return seconds(s.text.MaxKeepSeconds) }

// LogLevel returns the least level that is logged.
func (s Settings) LogLevel() string { return s.text.LogLevel }

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
