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
)

// Options are the settings of one instance.
type Options struct {
	Name       string `toml:"name"`
	DataCentre string `toml:"data-centre"`
	Listen     struct {
		Callers   netip.AddrPort `toml:"callers"`
		Operators netip.AddrPort `toml:"operators"`
		Peers     netip.AddrPort `toml:"peers"`
		Monitor   netip.AddrPort `toml:"monitor"`
		// HTTP and Readiness are used on the platform, in place of Callers and
		// Operators.
		HTTP      netip.AddrPort `toml:"http"`
		Readiness netip.AddrPort `toml:"readiness"`
	} `toml:"listen"`
	// Store is the platform's store, over HTTP.
	Store struct {
		Address netip.AddrPort `toml:"address"`
	} `toml:"store"`
	// Memory of the machine in MiB; 0 if there is no bound.
	Memory int `toml:"memory-mib"`
	// Repeats bound the calls beyond the first of each request, for each service
	// and over all instances.
	Repeats struct {
		Ratio  float64  `toml:"ratio"`
		Slack  float64  `toml:"slack"`
		Window duration `toml:"window"`
	} `toml:"repeats"`
	// Drain is the time after which a leaving backend server must get no new work.
	Drain duration `toml:"drain"`
	// Search says how a search ends in time.
	Search struct {
		Hedge        bool     `toml:"hedge"`
		EarlyAnswer  bool     `toml:"early-answer"`
		AnswerMargin duration `toml:"answer-margin"`
	} `toml:"search"`
	// Peers are addresses to try first; the store lists the others.
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

// duration is a time span written as in "15s".
type duration time.Duration

// UnmarshalText parses the written form.
func (d *duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("want a duration such as \"15s\", not %q", text)
	}
	*d = duration(v)
	return nil
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// parseOptions reads and checks a settings file. Errors name file, line and
// key.
func parseOptions(path string) (*Options, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	var o Options
	o.Stop.Grace = duration(defaultGrace)
	o.Log.Format = "text"
	o.Log.Level = "info"
	o.Policy.FanOut = "guarded"
	o.Repeats.Ratio = defaultRepeatRatio
	o.Repeats.Slack = defaultRepeatSlack
	o.Repeats.Window = duration(defaultRepeatWindow)
	o.Search.Hedge = true
	o.Search.EarlyAnswer = true
	o.Search.AnswerMargin = duration(defaultAnswerMargin)
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&o); err != nil {
		return nil, located(path, err)
	}
	if err := o.validate(); err != nil {
		return nil, merry.Errorf("%s:%d: %s: %s", path, lineOf(data, err.key), err.key, err.problem)
	}
	return &o, nil
}

// located names the line and key of a decoding error.
func located(path string, err error) error {
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

// settingError is a setting that was read but cannot be used.
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
	for _, l := range o.addresses() {
		if !l.address.IsValid() {
			return &settingError{l.key, "required, as IP:port"}
		}
		if other, taken := seen[l.address]; taken {
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
	if o.Repeats.Ratio < 0 || o.Repeats.Slack < 0 || o.Repeats.Window <= 0 {
		return &settingError{"repeats.window", "want ratio and slack of at least 0 and a window above 0"}
	}
	if o.Drain < 0 {
		return &settingError{"drain", "must be at least 0"}
	}
	if o.Search.AnswerMargin < 0 {
		return &settingError{"search.answer-margin", "must be at least 0"}
	}
	if o.Memory < 0 {
		return &settingError{"memory-mib", "must be at least 0"}
	}
	if o.Policy.FanOut != "guarded" && o.Policy.FanOut != "plain" {
		return &settingError{"policy.fan-out", "want guarded or plain"}
	}
	return nil
}

// address is a setting that must be there.
type address struct {
	key     string
	address netip.AddrPort
}

// OnPlatform tells whether the instance serves callers over HTTP and follows
// the platform's store.
func (o *Options) OnPlatform() bool { return o.Listen.HTTP.IsValid() }

// addresses are those that the instance cannot do without.
func (o *Options) addresses() []address {
	common := []address{
		{"listen.peers", o.Listen.Peers}, {"listen.monitor", o.Listen.Monitor}, {"store.address", o.Store.Address},
	}
	if o.OnPlatform() {
		return append(common, address{"listen.http", o.Listen.HTTP}, address{"listen.readiness", o.Listen.Readiness})
	}
	return append(common, address{"listen.callers", o.Listen.Callers}, address{"listen.operators", o.Listen.Operators})
}

// lineOf returns the line of a key, or 1 if the file does not have it.
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
