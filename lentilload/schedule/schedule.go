// Package schedule reads the files that describe experiments: their load and
// the faults to inject, with their times.
package schedule

import (
	"errors"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"

	"lentilward.org/lentilstand/site"
)

// Schedule describes one experiment.
type Schedule struct {
	Name string `toml:"name"`
	// WarmUp is how long load is sent before the measurement, Duration how long
	// the measurement lasts.
	WarmUp   site.Duration `toml:"warm-up"`
	Duration site.Duration `toml:"duration"`
	// RateFactor multiplies the rates of the site's loads; 0 means 1.
	RateFactor float64 `toml:"rate-factor"`
	// Loads, if not empty, replace the loads of the site.
	Loads []site.Load `toml:"loads"`
	// Surges are periods of increased load.
	Surges []Surge `toml:"surges"`
	Faults []Fault `toml:"faults"`
	// Racers is the number of operators that concurrently and repeatedly change
	// the same service.
	Racers int `toml:"racers"`
}

// Surge is a period in which the rate of the load on a group, or on all groups
// if none is named, is multiplied by Factor. At counts from the end of the
// warm-up.
type Surge struct {
	At     site.Duration `toml:"at"`
	For    site.Duration `toml:"for"`
	Factor float64       `toml:"factor"`
	Group  string        `toml:"group"`
}

// Fault is a fault that is injected Times times, at intervals of Every, or once
// if Times is 0. At counts from the end of the warm-up and may be negative.
type Fault struct {
	At    site.Duration `toml:"at"`
	Every site.Duration `toml:"every"`
	Times int           `toml:"times"`
	// Kind is a fault of the stand-ins, or one of kill, replace, pause, withdraw,
	// return and poison.
	Kind string `toml:"kind"`
	// Target is a service, group, data centre or server, or "*" for all servers.
	// "sample" is a random sample of the servers of size Share, "data-centre-N"
	// and "group-N" are the Nth of the site, and "all" makes kill apply to all
	// instances at once.
	Target string        `toml:"target"`
	Share  float64       `toml:"share"`
	For    site.Duration `toml:"for"`
	Amount float64       `toml:"amount"`
}

// Read reads a schedule file. It fails if the file is missing, malformed or has
// unknown keys.
func Read(path string) (*Schedule, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer f.Close()
	var s Schedule
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&s); err != nil {
		var unknownKeys *toml.StrictMissingError
		if errors.As(err, &unknownKeys) {
			return nil, merry.Errorf("%s: unknown key:\n%s", path, unknownKeys.String())
		}
		return nil, merry.Prepend(err, path)
	}
	if s.RateFactor == 0 {
		s.RateFactor = 1
	}
	return &s, nil
}
