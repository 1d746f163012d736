// Package render prints results as tables or as JSON.
package render

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
)

// Printer prints results either as tables or as JSON.
type Printer struct {
	out  io.Writer
	json bool
}

// New returns a Printer that writes to out, as JSON if asJSON is set and otherwise
// as tables.
func New(out io.Writer, asJSON bool) *Printer {
	return &Printer{out: out, json: asJSON}
}

// Print writes value as JSON, or header and rows as a table. Without rows, the table
// has no header either.
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

// PrintLine writes a formatted line in table format. It writes nothing in JSON
// format, so that the output remains valid JSON.
func (p *Printer) PrintLine(format string, args ...any) {
	if !p.json {
		fmt.Fprintf(p.out, format+"\n", args...)
	}
}
