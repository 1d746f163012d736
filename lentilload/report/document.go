package report

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/ansel1/merry/v2"
)

// The generated part of the document stands between these lines.
const (
	beginMark = "<!-- begin of the generated part -->"
	endMark   = "<!-- end of the generated part -->"
)

// Write replaces the generated part of a document by the table of all traces
// and draws their plots.
func Write(traces, document, plots string) error {
	paths, err := filepath.Glob(filepath.Join(traces, "*-guarded.json"))
	if err != nil {
		return merry.Wrap(err)
	}
	sort.Strings(paths)
	var table bytes.Buffer
	writeHeader(&table)
	var pictures []string
	for _, path := range paths {
		guarded, err := ReadTrace(path)
		if err != nil {
			return err
		}
		writeRow(&table, &guarded.Result)
		baseline, err := ReadTrace(strings.Replace(path, "-guarded.json", "-plain.json", 1))
		if err != nil {
			return err
		}
		drawn, err := draw(guarded, baseline, plots)
		if err != nil {
			return err
		}
		pictures = append(pictures, drawn...)
	}
	for _, p := range pictures {
		fmt.Fprintf(&table, "\n![%s](plots/%s.png)\n", p, p)
	}
	return replacePart(document, table.Bytes())
}

func writeHeader(b *bytes.Buffer) {
	fmt.Fprintln(b, "| experiment | site | seed | requests | p50 ms | p99 ms | p99.9 ms | baseline p99 ms | coverage min | baseline coverage min | extra load | goodput | baseline goodput | refused | cut | broken promises | crashed servers | after withdrawal s | in force s | recovery s |")
	fmt.Fprintln(b, "|"+strings.Repeat(" --- |", 20))
}

func writeRow(b *bytes.Buffer, r *Result) {
	base := r.Baseline
	if base == nil {
		base = &Figures{}
	}
	broken := r.MixedSnapshots + r.FalseCoverage + r.ColdOverloads + r.FalseNotRun + r.DoubleRuns + r.WrongAnswers + r.RevertedChanges
	fmt.Fprintf(b, "| %s | %s | %d | %d | %.1f | %.1f | %.1f | %.1f | %.3f | %.3f | %.3f | %.3f | %.3f | %d | %d | %d | %d | %.2f | %.2f | %.0f |\n",
		r.Name, r.Site, r.Seed, r.Requests, r.P50, r.P99, r.P999, base.P99, r.CoverageMin, base.CoverageMin, r.ExtraLoad,
		r.Goodput, base.Goodput, r.Refused, r.Cut, broken, r.CrashedServers, r.WorkAfterWithdrawal, r.ConfigInForce, r.RecoveryS)
}

// replacePart puts text between the marks of a document.
func replacePart(document string, text []byte) error {
	next, err := WithPart(document, text)
	if err != nil {
		return err
	}
	if err := os.WriteFile(document, next, 0o644); err != nil {
		return merry.Wrap(err)
	}
	return nil
}

// WithPart returns a document with text between its marks.
func WithPart(document string, text []byte) ([]byte, error) {
	data, err := os.ReadFile(document)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	begin := bytes.Index(data, []byte(beginMark))
	end := bytes.Index(data, []byte(endMark))
	if begin < 0 || end < begin {
		return nil, merry.Errorf("%s: the marks of the generated part are missing", document)
	}
	var next bytes.Buffer
	next.Write(data[:begin+len(beginMark)])
	next.WriteString("\n\n")
	next.Write(text)
	next.WriteString("\n")
	next.Write(data[end:])
	return next.Bytes(), nil
}
