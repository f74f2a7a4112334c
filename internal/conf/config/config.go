package config

import (
	"net"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/jsonc"
)

// Defaults of fields that a settings file omits.
const (
	defaultHoldTimeout      = 120 * time.Second
	defaultReclaimTimeout   = 150 * time.Second
	defaultMaxStaleness     = 3 * time.Second
	defaultLeaseDuration    = 1500 * time.Millisecond
	defaultExchangeInterval = 250 * time.Millisecond
	defaultDirectoryTTL     = 2 * time.Second
	defaultMaxBodyBytes     = 64 << 10
	defaultMaxAnswerBytes   = 1 << 20
	defaultReadersPerDomain = 2
	// lingerMargin is added to the directory TTL before a leaving VM stops accepting requests.
	lingerMargin = 500 * time.Millisecond
)

// Text is the JSON form of a settings file. Addresses are host:port with an IP address as host. A zero field gets its default, if
// there is one.
type Text struct {
	Name             ident.VM     `json:"name"`
	Domain           ident.Domain `json:"domain"`
	Client           string       `json:"caller"`
	Inner            string       `json:"inner"`
	Operator         string       `json:"operator"`
	Platform         string       `json:"platform"`
	LogLevel         string       `json:"logLevel"`
	HoldMillis       int          `json:"holdMillis"`
	ReclaimMillis    int          `json:"reclaimMillis"`
	FreshMillis      int          `json:"freshMillis"`
	LeaseMillis      int          `json:"loanMillis"`
	TickMillis       int          `json:"tickMillis"`
	KeepMillis       int          `json:"keepMillis"`
	MaxBodyBytes     int          `json:"maxBodyBytes"`
	MaxAnswerBytes   int          `json:"maxAnswerBytes"`
	ReadersPerDomain int          `json:"readersByDomain"`
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
	for _, a := range []struct{ path, address string }{
		{"/caller", t.Client}, {"/inner", t.Inner}, {"/operator", t.Operator}, {"/platform", t.Platform},
	} {
		host, _, err := net.SplitHostPort(a.address)
		check(err == nil && net.ParseIP(host) != nil, a.path, "%q is not IP:port", a.address)
	}
	for _, n := range []struct {
		path  string
		value int
	}{
		{"/holdMillis", t.HoldMillis},
		{"/reclaimMillis", t.ReclaimMillis},
		{"/freshMillis", t.FreshMillis},
		{"/loanMillis", t.LeaseMillis},
		{"/tickMillis", t.TickMillis},
		{"/keepMillis", t.KeepMillis},
		{"/maxBodyBytes", t.MaxBodyBytes},
		{"/maxAnswerBytes", t.MaxAnswerBytes},
		{"/readersByDomain", t.ReadersPerDomain},
	} {
		check(n.value > 0, n.path, "%d is not above 0", n.value)
	}
	check(t.ReclaimMillis*10 >= t.HoldMillis*11, "/reclaimMillis", "%d is not at least a tenth above holdMillis", t.ReclaimMillis)
	check(t.LeaseMillis >= 4*t.TickMillis, "/loanMillis", "%d is not at least four times tickMillis", t.LeaseMillis)
	check(t.FreshMillis >= 4*t.TickMillis, "/freshMillis", "%d is not at least four times tickMillis", t.FreshMillis)
	return Settings{text: t}, faults
}

func setDefaults(t *Text) {
	millis := func(p *int, d time.Duration) {
		if *p == 0 {
			*p = int(d / time.Millisecond)
		}
	}
	count := func(p *int, n int) {
		if *p == 0 {
			*p = n
		}
	}
	millis(&t.HoldMillis, defaultHoldTimeout)
	millis(&t.ReclaimMillis, defaultReclaimTimeout)
	millis(&t.FreshMillis, defaultMaxStaleness)
	millis(&t.LeaseMillis, defaultLeaseDuration)
	millis(&t.TickMillis, defaultExchangeInterval)
	millis(&t.KeepMillis, defaultDirectoryTTL)
	count(&t.MaxBodyBytes, defaultMaxBodyBytes)
	count(&t.MaxAnswerBytes, defaultMaxAnswerBytes)
	count(&t.ReadersPerDomain, defaultReadersPerDomain)
	if t.LogLevel == "" {
		t.LogLevel = "info"
	}
}

// Name returns the VM's name.
func (s Settings) Name() ident.VM { return s.text.Name }

// Domain returns the VM's failure domain.
func (s Settings) Domain() ident.Domain { return s.text.Domain }

// ClientAddress returns the host and port that clients connect to.
func (s Settings) ClientAddress() string { return s.text.Client }

// InnerAddress returns the host and port that other VMs connect to.
func (s Settings) InnerAddress() string { return s.text.Inner }

// OperatorAddress returns the host and port of the operators' pages.
func (s Settings) OperatorAddress() string { return s.text.Operator }

// PlatformAddress returns the host and port of the platform.
func (s Settings) PlatformAddress() string { return s.text.Platform }

// LogLevel returns the minimum level of log records that are written.
func (s Settings) LogLevel() string { return s.text.LogLevel }

// HoldTimeout returns how long a VM keeps the shares that it holds while it cannot reach a majority of the VMs.
func (s Settings) HoldTimeout() time.Duration { return millis(s.text.HoldMillis) }

// ReclaimTimeout returns how long a VM must have been silent before the shares that it held are reassigned.
func (s Settings) ReclaimTimeout() time.Duration { return millis(s.text.ReclaimMillis) }

// MaxStaleness returns how long a VM serves requests with a key without confirmation that its configuration is current.
func (s Settings) MaxStaleness() time.Duration { return millis(s.text.FreshMillis) }

// LeaseDuration returns how long a lease lasts.
func (s Settings) LeaseDuration() time.Duration { return millis(s.text.LeaseMillis) }

// ExchangeInterval returns the time between exchanges with other VMs.
func (s Settings) ExchangeInterval() time.Duration { return millis(s.text.TickMillis) }

// DirectoryTTL returns how long clients may cache a directory answer.
func (s Settings) DirectoryTTL() time.Duration { return millis(s.text.KeepMillis) }

// Linger returns how long a leaving VM still accepts requests.
func (s Settings) Linger() time.Duration { return s.DirectoryTTL() + lingerMargin }

// MaxBodyBytes returns the maximum size of a request body, in bytes.
func (s Settings) MaxBodyBytes() int64 { return int64(s.text.MaxBodyBytes) }

// MaxAnswerBytes returns the maximum size of a backend server's answer, in bytes.
func (s Settings) MaxAnswerBytes() int64 { return int64(s.text.MaxAnswerBytes) }

// ReadersPerDomain returns how many VMs of a failure domain watch the platform.
func (s Settings) ReadersPerDomain() int { return s.text.ReadersPerDomain }

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
