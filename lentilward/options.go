package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"

	"lentilward.org/lentilward/memory"
)

// Options are the settings of one instance, read from its settings file.
type Options struct {
	Name       string `toml:"name"`
	DataCentre string `toml:"data-centre"`
	Listen     struct {
		Callers   netip.AddrPort `toml:"callers"`
		Operators netip.AddrPort `toml:"operators"`
		Peers     netip.AddrPort `toml:"peers"`
		Monitor   netip.AddrPort `toml:"monitor"`
		// HTTP and Readiness replace Callers and Operators on the platform.
		HTTP      netip.AddrPort `toml:"http"`
		Readiness netip.AddrPort `toml:"readiness"`
	} `toml:"listen"`
	// Store is the platform's key-value service, reached over HTTP.
	Store struct {
		Address netip.AddrPort `toml:"address"`
	} `toml:"store"`
	// Memory is the memory of the machine in MiB; 0 sets no limit.
	Memory int `toml:"memory-mib"`
	// RetryBudget bounds the hedges and retries of each service, summed over all
	// instances: within Window there are at most Ratio times the number of
	// requests, plus Slack.
	RetryBudget struct {
		Ratio  float64  `toml:"ratio"`
		Slack  float64  `toml:"slack"`
		Window duration `toml:"window"`
	} `toml:"repeats"`
	// Drain is how long a backend server may still get new work after it has
	// started draining.
	Drain duration `toml:"drain"`
	// Apply is the time within which an accepted configuration must be in force. An
	// instance whose configuration was not confirmed for longer does not claim that
	// a route does not exist.
	Apply duration `toml:"apply"`
	// Search selects how a search meets its latency target: by hedging, and by
	// answering AnswerMargin before the target with the shards that have
	// replied.
	Search struct {
		Hedge        bool     `toml:"hedge"`
		EarlyAnswer  bool     `toml:"early-answer"`
		AnswerMargin duration `toml:"answer-margin"`
	} `toml:"search"`
	// CPUShare is the share of a core that the machine has; 0 if unknown.
	CPUShare float64 `toml:"cpu-share"`
	// Rollouts bounds the requests that a version of a service's software gets before it
	// is known to be good: ExposureShare of all requests of the service, plus
	// ExposureSlack. Rollback is the time in which a bad version must get no more
	// requests. Without an ExposureShare orders of rollouts and versions are ignored.
	Rollouts struct {
		ExposureShare float64  `toml:"exposure-share"`
		ExposureSlack float64  `toml:"exposure-slack"`
		Rollback      duration `toml:"rollback"`
	} `toml:"rollouts"`
	// Revocation is the time after which a key that was withdrawn is refused by every
	// instance, also by one without a connection to the store; 0 sets no such bound.
	Revocation struct {
		Within duration `toml:"within"`
	} `toml:"revocation"`
	// Quota is how exact the allowances of tenants are kept: in a Window a tenant's
	// requests exceed its allowance by at most a share of Overage, plus Slack.
	Quota struct {
		Window  duration `toml:"window"`
		Overage float64  `toml:"overage"`
		Slack   float64  `toml:"slack"`
	} `toml:"quota"`
	// Pace slows the calls to servers that have just started or recovered; nil enables
	// it where the instances outnumber the connections of servers.
	Pace struct {
		Enabled *bool `toml:"enabled"`
	} `toml:"pace"`
	// Peers are the addresses tried first; the other instances are listed in the
	// store.
	Peers []netip.AddrPort `toml:"peers"`
	Log   struct {
		Format string `toml:"format"`
		Level  string `toml:"level"`
	} `toml:"log"`
	Stop struct {
		Grace duration `toml:"grace"`
	} `toml:"stop"`
	Policy struct {
		FanOut string `toml:"fan-out"`
	} `toml:"policy"`
}

// newMemory returns a limit of a share of the machine's memory; nil if the settings don't
// give that.
func (o *Options) newMemory(share float64) *memory.Limit {
	if o.Memory <= 0 {
		return nil
	}
	return memory.New(int64(float64(o.Memory) * share * (1 << 20)))
}

// duration is a time.Duration that the settings file gives as text, such as
// "15s".
type duration time.Duration

// UnmarshalText parses a time span in the format of time.ParseDuration.
func (d *duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("want a duration such as \"15s\", not %q", text)
	}
	*d = duration(v)
	return nil
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// parseOptions reads and validates a settings file. Errors name the file, line
// and key.
func parseOptions(path string) (*Options, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	var o Options
	o.Stop.Grace = duration(defaultGracePeriod)
	o.Log.Format = "text"
	o.Log.Level = "info"
	o.Policy.FanOut = "guarded"
	o.RetryBudget.Ratio = defaultRetryRatio
	o.RetryBudget.Slack = defaultRetrySlack
	o.RetryBudget.Window = duration(defaultRetryWindow)
	o.Apply = duration(defaultApply)
	o.Search.Hedge = true
	o.Search.EarlyAnswer = true
	o.Search.AnswerMargin = duration(defaultAnswerMargin)
	o.Rollouts.Rollback = duration(defaultRollback)
	o.Quota.Window = duration(defaultQuotaWindow)
	o.Quota.Overage = defaultQuotaOverage
	o.Quota.Slack = defaultQuotaSlack
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&o); err != nil {
		return nil, withPosition(path, err)
	}
	if err := o.validate(); err != nil {
		return nil, merry.Errorf("%s:%d: %s: %s", path, lineOf(data, err.key), err.key, err.problem)
	}
	return &o, nil
}

// withPosition adds the file, line and key to a decoding error.
func withPosition(path string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		row, _ := strict.Errors[0].Position()
		return merry.Errorf("%s:%d: %s: unknown key", path, row, joinKey(strict.Errors[0].Key()))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return merry.Errorf("%s:%d: %s: %s", path, row, joinKey(decode.Key()), decode.Error())
	}
	return merry.Errorf("%s: %v", path, err)
}

func joinKey(key toml.Key) string {
	var b bytes.Buffer
	for i, part := range key {
		if i > 0 {
			b.WriteByte('.')
		}
		b.WriteString(part)
	}
	return b.String()
}

// settingError describes a setting that has an invalid value.
type settingError struct {
	key     string
	problem string
}

func (o *Options) validate() *settingError {
	if !namePattern.MatchString(o.Name) {
		return &settingError{"name", "want lower-case letters, digits and dashes"}
	}
	if !namePattern.MatchString(o.DataCentre) {
		return &settingError{"data-centre", "want lower-case letters, digits and dashes"}
	}
	seen := make(map[netip.AddrPort]string)
	for _, l := range o.requiredAddresses() {
		if !l.address.IsValid() {
			return &settingError{l.key, "address is required, in the form IP:port"}
		}
		if other, duplicate := seen[l.address]; duplicate {
			return &settingError{l.key, "same address as " + other}
		}
		seen[l.address] = l.key
	}
	if o.Log.Format != "text" && o.Log.Format != "json" {
		return &settingError{"log.format", "want text or json"}
	}
	if _, known := logLevels[o.Log.Level]; !known {
		return &settingError{"log.level", "want debug, info, warn or error"}
	}
	if o.Stop.Grace <= 0 {
		return &settingError{"stop.grace", "must be above 0"}
	}
	if o.RetryBudget.Ratio < 0 || o.RetryBudget.Slack < 0 || o.RetryBudget.Window <= 0 {
		return &settingError{"repeats.window", "want ratio and slack of at least 0 and a window above 0"}
	}
	if o.Drain < 0 {
		return &settingError{"drain", "must be at least 0"}
	}
	if o.Apply <= 0 {
		return &settingError{"apply", "must be above 0"}
	}
	if o.Search.AnswerMargin < 0 {
		return &settingError{"search.answer-margin", "must be at least 0"}
	}
	if o.CPUShare < 0 {
		return &settingError{"cpu-share", "must be at least 0"}
	}
	if o.Rollouts.ExposureShare < 0 || o.Rollouts.ExposureShare > 1 || o.Rollouts.ExposureSlack < 0 || o.Rollouts.Rollback <= 0 {
		return &settingError{"rollouts.exposure-share", "want a share of 0 to 1, a slack of at least 0 and a rollback above 0"}
	}
	if o.Revocation.Within < 0 {
		return &settingError{"revocation.within", "must be at least 0"}
	}
	if o.Quota.Window <= 0 || o.Quota.Overage < 0 || o.Quota.Slack < 0 {
		return &settingError{"quota.window", "want a window above 0, and an overage and a slack of at least 0"}
	}
	if o.Memory < 0 {
		return &settingError{"memory-mib", "must be at least 0"}
	}
	if o.Policy.FanOut != "guarded" && o.Policy.FanOut != "plain" {
		return &settingError{"policy.fan-out", "want guarded or plain"}
	}
	return nil
}

// addressSetting is a required address and its key in the settings file.
type addressSetting struct {
	key     string
	address netip.AddrPort
}

// OnPlatform reports whether the instance serves callers over HTTP and follows
// the platform's store.
func (o *Options) OnPlatform() bool { return o.Listen.HTTP.IsValid() }

// requiredAddresses returns the address settings that must be present.
func (o *Options) requiredAddresses() []addressSetting {
	common := []addressSetting{
		{"listen.peers", o.Listen.Peers}, {"listen.monitor", o.Listen.Monitor}, {"store.address", o.Store.Address},
	}
	if o.OnPlatform() {
		return append(common, addressSetting{"listen.http", o.Listen.HTTP}, addressSetting{"listen.readiness", o.Listen.Readiness})
	}
	return append(common, addressSetting{"listen.callers", o.Listen.Callers}, addressSetting{"listen.operators", o.Listen.Operators})
}

// lineOf returns the line number of a key, or 1 if the file does not contain it.
func lineOf(data []byte, key string) int {
	last := []byte(key)
	if i := bytes.LastIndexByte(last, '.'); i >= 0 {
		last = last[i+1:]
	}
	for i, line := range bytes.Split(data, []byte("\n")) {
		name, _, found := bytes.Cut(line, []byte("="))
		if found && bytes.Equal(bytes.TrimSpace(name), last) {
			return i + 1
		}
	}
	return 1
}
