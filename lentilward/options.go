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
	} `toml:"listen"`
	Platform struct {
		Address netip.AddrPort `toml:"address"`
	} `toml:"platform"`
	// Peers are addresses to try first; the platform's list has the others.
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
	for _, l := range []struct {
		key     string
		address netip.AddrPort
	}{
		{"listen.callers", o.Listen.Callers},
		{"listen.operators", o.Listen.Operators},
		{"listen.peers", o.Listen.Peers},
		{"listen.monitor", o.Listen.Monitor},
		{"platform.address", o.Platform.Address},
	} {
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
	if o.Policy.FanOut != "guarded" && o.Policy.FanOut != "plain" {
		return &settingError{"policy.fan-out", "want guarded or plain"}
	}
	return nil
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
