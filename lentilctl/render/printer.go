// Package render prints results as tables for people or as JSON.
package render

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
)

// Printer prints results in one of the two ways.
type Printer struct {
	out  io.Writer
	json bool
}

// New returns a printer.
func New(out io.Writer, asJSON bool) *Printer {
	return &Printer{out: out, json: asJSON}
}

// Print writes value as JSON, or the table that people read.
func (p *Printer) Print(value any, header []string, rows [][]string) error {
	if p.json {
		e := json.NewEncoder(p.out)
		e.SetIndent("", "  ")
		if err := e.Encode(value); err != nil {
			return merry.Wrap(err)
		}
		return nil
	}
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	if len(rows) > 0 {
		fmt.Fprintln(w, strings.Join(header, "\t"))
	}
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// Line writes a line for people only.
func (p *Printer) Line(format string, args ...any) {
	if !p.json {
		fmt.Fprintf(p.out, format+"\n", args...)
	}
}
