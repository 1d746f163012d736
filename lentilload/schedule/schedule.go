// Package schedule reads the files that describe experiments: load and faults
// with their times.
package schedule

import (
	"errors"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"

	"lentilward.org/lentilstand/site"
)

// Schedule is one experiment.
type Schedule struct {
	Name string `toml:"name"`
	// WarmUp is load before the measurement, Duration that within it.
	WarmUp   site.Duration `toml:"warm-up"`
	Duration site.Duration `toml:"duration"`
	// RateFactor multiplies the rates of the site's loads; 0 means 1.
	RateFactor float64 `toml:"rate-factor"`
	// Loads replace those of the site, if there are any.
	Loads []site.Load `toml:"loads"`
	// Surges multiply all rates for a while.
	Surges []Surge `toml:"surges"`
	Faults []Fault `toml:"faults"`
	// Racers is the number of operators that change the configuration all the
	// time.
	Racers int `toml:"racers"`
}

// Surge is a time of higher load on a group, or on all if none is named. Times count from the end of the warm-up.
type Surge struct {
	At     site.Duration `toml:"at"`
	For    site.Duration `toml:"for"`
	Factor float64       `toml:"factor"`
	Group  string        `toml:"group"`
}

// Fault is one fault, or several if Every is set.
type Fault struct {
	At    site.Duration `toml:"at"`
	Every site.Duration `toml:"every"`
	Times int           `toml:"times"`
	// Kind is a fault of the stand-ins, or kill, replace, withdraw, return,
	// poison.
	Kind string `toml:"kind"`
	// Target is a service, group, data centre, server or instance;
	// "sample" draws Share of the servers, "data-centre-N" and "group-N" name
	// the Nth of the site.
	Target string        `toml:"target"`
	Share  float64       `toml:"share"`
	For    site.Duration `toml:"for"`
	Amount float64       `toml:"amount"`
}

// Load reads a schedule; an unknown key is an error.
func Load(path string) (*Schedule, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer f.Close()
	var s Schedule
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&s); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, merry.Errorf("%s: unknown key:\n%s", path, strict.String())
		}
		return nil, merry.Prepend(err, path)
	}
	if s.RateFactor == 0 {
		s.RateFactor = 1
	}
	return &s, nil
}
