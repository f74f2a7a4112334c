package setup

import (
	"net"
	"strconv"
	"time"

	"github.com/charmbracelet/log"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/base/units"
	"kumquatreel.example/kumquatreel/internal/conf/jsonc"
)

// Defaults of fields that a settings file omits.
const (
	defaultCPUShare        = 1.0
	defaultOpenFiles       = 1024
	defaultMemoryMegabytes = 512
	// A line takes three bytes at least, so that a head within 16 KiB never has so many.
	defaultMaxHeadLines          = 8192
	defaultDrainMillis           = 3000
	defaultServerHeartbeatMillis = 1200
	defaultGraceSeconds          = 6.0
	defaultRetryRatio            = 0.1
	defaultRetryWindowSeconds    = 10.0
	defaultRetrySlack            = 10.0
	defaultRateOvershoot         = 0.25
	defaultRateSlack             = 20.0
	defaultMaxKeepSeconds        = 5.0
	defaultServerHoldKilobytes   = 4096
	defaultLogLevel              = "info"
)

// Both are a terabyte.
const (
	maxServerHoldKilobytes = 1 << 30
	maxMemoryMegabytes     = 1 << 20
)

// Text is the JSON form of a settings file. Address is an IP address; the other addresses are host:port with an IP address as host.
// A zero field gets its default, if there is one.
type Text struct {
	Name         string       `json:"name"`
	Domain       ident.Domain `json:"domain"`
	Region       string       `json:"region"`
	Address      string       `json:"address"`
	Clients      string       `json:"callers"`
	Ready        string       `json:"ready"`
	Peers        string       `json:"peers"`
	Directory    string       `json:"directory"`
	Metrics      string       `json:"metrics"`
	GossipPort   int          `json:"gossipPort"`
	Seeds        []string     `json:"seeds"`
	Store        string       `json:"store"`
	CPUShare     float64      `json:"cpuShare"`
	MaxOpenFiles int          `json:"maxOpenFiles"`
	// MemoryMegabytes is the memory of the VM in MiB.
	MemoryMegabytes int `json:"memoryMegabytes"`
	// MaxHeadLines is the number of lines that the head of a request may have.
	MaxHeadLines int `json:"maxHeadLines"`
	DrainMillis  int `json:"drainMillis"`
	// ServerHeartbeatMillis is the interval at which servers renew their entries in the store.
	ServerHeartbeatMillis int     `json:"serverHeartbeatMillis"`
	GraceSeconds          float64 `json:"graceSeconds"`
	RetryRatio            float64 `json:"repeatRatio"`
	RetryWindowSeconds    float64 `json:"repeatWindowSeconds"`
	RetrySlack            float64 `json:"repeatSlack"`
	// RateOvershoot and RateSlack bound what the fleet may admit of a team beyond its rate, while VMs do not hear each other: a fraction of
	// what the rate and the burst allow, and a number of requests.
	RateOvershoot  *float64 `json:"rateOvershoot"`
	RateSlack      *float64 `json:"rateSlack"`
	MaxKeepSeconds float64  `json:"keepSecondsMost"`
	// ServerHoldKilobytes is how much of requests a server may hold for the whole fleet, 0 for any amount.
	ServerHoldKilobytes *int `json:"serverHoldKilobytes"`
	// FirstStart says that the whole fleet starts for the first time, so that no other VM can have used any of the teams' rates.
	FirstStart bool `json:"firstStart"`
	// UrgentFirst makes requests leave room in the queues of servers for more urgent ones that go to the same servers.
	UrgentFirst bool `json:"urgentFirst"`
	// EvenLoad says that VMs use the pace that servers tell and what other VMs have heard of their load.
	EvenLoad bool   `json:"evenLoad"`
	LogLevel string `json:"logLevel"`
}

// Settings holds checked settings with defaults applied.
type Settings struct {
	text Text
}

// Load reads the settings in a file. If they are invalid, the error wraps jsonc.FaultErrors.
func Load(path string) (s Settings, err error) {
	err = jsonc.Load(path, func(text []byte) error {
		s, err = Parse(text)
		return err
	})
	return s, err
}

// Parse returns the settings in text, or jsonc.FaultErrors with every fault found.
func Parse(text []byte) (s Settings, err error) {
	var t Text
	err = jsonc.Check(text, &t, func() (faults jsonc.FaultErrors) {
		s, faults = New(t)
		return faults
	})
	return s, err
}

// New applies defaults to t, checks it and returns every fault found.
func New(t Text) (Settings, jsonc.FaultErrors) {
	setDefaults(&t)
	var faults jsonc.FaultErrors
	check := func(ok bool, path, format string, args ...any) {
		if !ok {
			faults = append(faults, jsonc.NewFault(path, format, args...))
		}
	}
	check(t.Name != "", "/name", "the VM has no name")
	check(t.Domain != "", "/domain", "the VM has no failure domain")
	check(net.ParseIP(t.Address) != nil, "/address", "%q is not an IP address", t.Address)
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
		{"/memoryMegabytes", float64(t.MemoryMegabytes)},
		{"/maxHeadLines", float64(t.MaxHeadLines)},
		{"/drainMillis", float64(t.DrainMillis)},
		{"/serverHeartbeatMillis", float64(t.ServerHeartbeatMillis)},
		{"/graceSeconds", t.GraceSeconds},
		{"/repeatWindowSeconds", t.RetryWindowSeconds},
		{"/keepSecondsMost", t.MaxKeepSeconds},
	} {
		check(n.value > 0, n.path, "%v is not above 0", n.value)
	}
	check(t.RetryRatio >= 0, "/repeatRatio", "%v is below 0", t.RetryRatio)
	check(t.RetrySlack >= 0, "/repeatSlack", "%v is below 0", t.RetrySlack)
	check(*t.RateOvershoot >= 0, "/rateOvershoot", "%v is below 0", *t.RateOvershoot)
	check(t.MemoryMegabytes <= maxMemoryMegabytes, "/memoryMegabytes", "%v is above %d", t.MemoryMegabytes, maxMemoryMegabytes)
	check(*t.ServerHoldKilobytes >= 0 && *t.ServerHoldKilobytes <= maxServerHoldKilobytes, "/serverHoldKilobytes", "%v is not from 0 to %d",
		*t.ServerHoldKilobytes, maxServerHoldKilobytes)
	check(*t.RateSlack >= 0, "/rateSlack", "%v is below 0", *t.RateSlack)
	_, err := log.ParseLevel(t.LogLevel)
	check(err == nil, "/logLevel", "%q is not debug, info, warn or error", t.LogLevel)
	return Settings{text: t}, faults
}

func isAddress(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil
}

func setDefaults(t *Text) {
	number := func(p *float64, v float64) {
		if *p == 0 {
			*p = v
		}
	}
	integer := func(p *int, v int) {
		if *p == 0 {
			*p = v
		}
	}
	number(&t.CPUShare, defaultCPUShare)
	integer(&t.MaxOpenFiles, defaultOpenFiles)
	integer(&t.MemoryMegabytes, defaultMemoryMegabytes)
	integer(&t.MaxHeadLines, defaultMaxHeadLines)
	integer(&t.DrainMillis, defaultDrainMillis)
	integer(&t.ServerHeartbeatMillis, defaultServerHeartbeatMillis)
	number(&t.GraceSeconds, defaultGraceSeconds)
	number(&t.RetryRatio, defaultRetryRatio)
	number(&t.RetryWindowSeconds, defaultRetryWindowSeconds)
	number(&t.RetrySlack, defaultRetrySlack)
	number(&t.MaxKeepSeconds, defaultMaxKeepSeconds)
	if t.RateOvershoot == nil {
		t.RateOvershoot = new(defaultRateOvershoot)
	}
	if t.RateSlack == nil {
		t.RateSlack = new(defaultRateSlack)
	}
	if t.ServerHoldKilobytes == nil {
		t.ServerHoldKilobytes = new(defaultServerHoldKilobytes)
	}
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

// Address returns the VM's IP address.
func (s Settings) Address() string { return s.text.Address }

// ClientAddress returns the host and port that clients connect to.
func (s Settings) ClientAddress() string { return s.text.Clients }

// ReadyAddress returns the host and port of the readiness endpoint that the platform polls.
func (s Settings) ReadyAddress() string { return s.text.Ready }

// PeerAddress returns the host and port that other VMs connect to.
func (s Settings) PeerAddress() string { return s.text.Peers }

// DirectoryAddress returns the host and port of the directory, which lists the addresses for clients.
func (s Settings) DirectoryAddress() string { return s.text.Directory }

// MetricsAddress returns the host and port on which metrics are served.
func (s Settings) MetricsAddress() string { return s.text.Metrics }

// GossipPort returns the UDP port for heartbeats between VMs; it is the same on all VMs.
func (s Settings) GossipPort() int { return s.text.GossipPort }

// Seeds returns the peer addresses at which a new VM looks for the fleet; some may be stale.
func (s Settings) Seeds() []string { return s.text.Seeds }

// StoreAddress returns the host and port of the platform's store.
func (s Settings) StoreAddress() string { return s.text.Store }

// CPUShare returns the VM's CPU capacity in cores.
func (s Settings) CPUShare() float64 { return s.text.CPUShare }

// MaxOpenFiles returns the maximum number of open file descriptors of the process.
func (s Settings) MaxOpenFiles() int { return s.text.MaxOpenFiles }

// MemoryBytes returns the memory of the VM, which the process must stay within.
func (s Settings) MemoryBytes() int64 { return int64(s.text.MemoryMegabytes) << 20 }

// MaxHeadLines returns the number of lines that the head of a request may have.
func (s Settings) MaxHeadLines() int { return s.text.MaxHeadLines }

// DrainPeriod returns how long a backend server still serves requests after it has reported that it is draining.
func (s Settings) DrainPeriod() time.Duration {
	return time.Duration(s.text.DrainMillis) * time.Millisecond
}

// GracePeriod returns how long a process may run after it is asked to stop.
func (s Settings) GracePeriod() time.Duration { return units.Seconds(s.text.GraceSeconds) }

// RetryRatio returns the fraction of a service's requests that may be sent a second time, as a retry or hedge.
func (s Settings) RetryRatio() float64 { return s.text.RetryRatio }

// RetryWindow returns the length of the sliding window over which retries and hedges are counted.
func (s Settings) RetryWindow() time.Duration { return units.Seconds(s.text.RetryWindowSeconds) }

// RetrySlack returns how many retries and hedges of a service's requests the fleet may send per window in addition to the ratio.
func (s Settings) RetrySlack() float64 { return s.text.RetrySlack }

// RateOvershoot returns the fraction by which the fleet may exceed what the rate and the burst of a team allow.
func (s Settings) RateOvershoot() float64 { return *s.text.RateOvershoot }

// RateSlack returns how many requests of a team the fleet may admit in addition to that.
func (s Settings) RateSlack() float64 { return *s.text.RateSlack }

// ServerHold returns how many bytes of requests a server may hold for the whole fleet, 0 for any number.
func (s Settings) ServerHold() int64 {
	if s.text.ServerHoldKilobytes == nil {
		return 0
	}
	return int64(*s.text.ServerHoldKilobytes) << 10
}

// FirstStart reports whether the whole fleet starts for the first time.
func (s Settings) FirstStart() bool { return s.text.FirstStart }

// UrgentFirst reports whether requests leave room in the queues of servers for more urgent ones.
func (s Settings) UrgentFirst() bool { return s.text.UrgentFirst }

// EvenLoad reports whether VMs use the pace that servers tell and what other VMs have heard of their load.
func (s Settings) EvenLoad() bool { return s.text.EvenLoad }

// ServerHeartbeat returns the interval at which servers renew their entries in the store.
func (s Settings) ServerHeartbeat() time.Duration {
	return time.Duration(s.text.ServerHeartbeatMillis) * time.Millisecond
}

// MaxDirectoryTTL returns the maximum time for which a client may cache a directory answer.
func (s Settings) MaxDirectoryTTL() time.Duration { return units.Seconds(s.text.MaxKeepSeconds) }

// LogLevel returns the minimum level of log records that are written.
func (s Settings) LogLevel() string { return s.text.LogLevel }
