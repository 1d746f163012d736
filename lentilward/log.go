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

// newLog returns a logger that adds the name of the instance to every line.
func newLog(o *Options, w io.Writer, level slog.Leveler) *slog.Logger {
	options := &slog.HandlerOptions{Level: level}
	var h slog.Handler = slog.NewTextHandler(w, options)
	if o.Log.Format == "json" {
		h = slog.NewJSONHandler(w, options)
	}
	return slog.New(h).With("instance", o.Name)
}
