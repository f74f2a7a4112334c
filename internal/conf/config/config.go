package config

import (
	"net"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/jsonc"
)

const (
	defaultHold       = 120 * time.Second
	defaultReclaim    = 150 * time.Second
	defaultFresh      = 3 * time.Second
	defaultLoan       = 1500 * time.Millisecond
	defaultTick       = 250 * time.Millisecond
	defaultKeep       = 2 * time.Second
	defaultMaxBody    = 64 << 10
	defaultMaxAnswer  = 1 << 20
	defaultReaders    = 2
	defaultDrainSlack = 500 * time.Millisecond
)

// Text is the form of a settings file.
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

func fill(t *Text) {
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
	millis(&t.HoldMillis, defaultHold)
	millis(&t.ReclaimMillis, defaultReclaim)
	millis(&t.FreshMillis, defaultFresh)
	millis(&t.LeaseMillis, defaultLoan)
	millis(&t.TickMillis, defaultTick)
	millis(&t.KeepMillis, defaultKeep)
	count(&t.MaxBodyBytes, defaultMaxBody)
	count(&t.MaxAnswerBytes, defaultMaxAnswer)
	count(&t.ReadersPerDomain, defaultReaders)
	if t.LogLevel == "" {
		t.LogLevel = "info"
	}
}

// Name returns the VM's name.
func (s Settings) Name() ident.VM { return s.text.Name }

// Domain returns the VM's failure domain.
func (s Settings) Domain() ident.Domain { return s.text.Domain }

// ClientAddress returns the address for callers.
func (s Settings) ClientAddress() string { return s.text.Client }

// InnerAddress returns the address for other VMs.
func (s Settings) InnerAddress() string { return s.text.Inner }

// OperatorAddress returns the address for operators.
func (s Settings) OperatorAddress() string { return s.text.Operator }

// PlatformAddress returns the address of the platform.
func (s Settings) PlatformAddress() string { return s.text.Platform }

// LogLevel returns the least level that is logged.
func (s Settings) LogLevel() string { return s.text.LogLevel }

// HoldTimeout returns how long a VM keeps its claims without a majority.
func (s Settings) HoldTimeout() time.Duration { return millis(s.text.HoldMillis) }

// ReclaimTimeout returns how long a VM must have been silent before its claims go to others.
func (s Settings) ReclaimTimeout() time.Duration { return millis(s.text.ReclaimMillis) }

// MaxStaleness returns how long a VM serves keyed requests without news.
func (s Settings) MaxStaleness() time.Duration { return millis(s.text.FreshMillis) }

// LeaseDuration returns how long a loan lasts.
func (s Settings) LeaseDuration() time.Duration { return millis(s.text.LeaseMillis) }

// ExchangeInterval returns the time between exchanges.
func (s Settings) ExchangeInterval() time.Duration { return millis(s.text.TickMillis) }

// DirectoryTTL returns how long callers keep a directory answer.
func (s Settings) DirectoryTTL() time.Duration { return millis(s.text.KeepMillis) }

// Linger returns how long a leaving VM goes on accepting.
func (s Settings) Linger() time.Duration { return s.DirectoryTTL() + defaultDrainSlack }

// MaxBodyBytes returns the largest request body taken, in bytes.
func (s Settings) MaxBodyBytes() int64 { return int64(s.text.MaxBodyBytes) }

// MaxAnswerBytes returns the largest answer taken from a backend server, in bytes.
func (s Settings) MaxAnswerBytes() int64 { return int64(s.text.MaxAnswerBytes) }

// ReadersPerDomain returns how many VMs of a failure domain watch the platform.
func (s Settings) ReadersPerDomain() int { return s.text.ReadersPerDomain }

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
