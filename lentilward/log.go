package main

import (
	"io"
	"log/slog"
)

var logLevels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

// newLog returns a log with the instance's name in every line.
func newLog(o *Options, w io.Writer, level slog.Leveler) *slog.Logger {
	settings := &slog.HandlerOptions{Level: level}
	var h slog.Handler = slog.NewTextHandler(w, settings)
	if o.Log.Format == "json" {
		h = slog.NewJSONHandler(w, settings)
	}
	return slog.New(h).With("instance", o.Name)
}
