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

// beginMarker and endMarker are the lines around the generated part of a document.
const (
	beginMarker = "<!-- begin of the generated part -->"
	endMarker   = "<!-- end of the generated part -->"
)

// WriteDocument replaces the generated part of a document by a table of the
// results of all traces in a folder, and saves their plots. It fails if a guarded
// trace has no plain one, or if the document has no markers of a generated part.
func WriteDocument(tracesFolder, document, plotsFolder string) error {
	paths, err := filepath.Glob(filepath.Join(tracesFolder, "*-guarded.json"))
	if err != nil {
		return merry.Wrap(err)
	}
	sort.Strings(paths)
	var table bytes.Buffer
	writeTableHeader(&table)
	var plotNames []string
	for _, path := range paths {
		guarded, err := ReadTrace(path)
		if err != nil {
			return err
		}
		writeTableRow(&table, &guarded.Result)
		baseline, err := ReadTrace(strings.Replace(path, "-guarded.json", "-plain.json", 1))
		if err != nil {
			return err
		}
		names, err := drawPlots(guarded, baseline, plotsFolder)
		if err != nil {
			return err
		}
		plotNames = append(plotNames, names...)
	}
	for _, p := range plotNames {
		fmt.Fprintf(&table, "\n![%s](plots/%s.png)\n", p, p)
	}
	return replaceGeneratedPart(document, table.Bytes())
}

func writeTableHeader(b *bytes.Buffer) {
	fmt.Fprintln(b, "| experiment | site | seed | requests | p50 ms | p99 ms | p99.9 ms | baseline p99 ms | coverage min | baseline coverage min | extra load | goodput | baseline goodput | refused | cut | broken promises | crashed servers | after withdrawal s | in force s | recovery s |")
	fmt.Fprintln(b, "|"+strings.Repeat(" --- |", 20))
}

func writeTableRow(b *bytes.Buffer, r *Result) {
	baseline := r.Baseline
	if baseline == nil {
		baseline = &Figures{}
	}
	violations := r.MixedSnapshots + r.FalseCoverage + r.ColdOverloads + r.FalseNotRun + r.DoubleRuns + r.WrongAnswers + r.RevertedChanges
	fmt.Fprintf(b, "| %s | %s | %d | %d | %.1f | %.1f | %.1f | %.1f | %.3f | %.3f | %.3f | %.3f | %.3f | %d | %d | %d | %d | %.2f | %.2f | %.0f |\n",
		r.Name, r.Site, r.Seed, r.Requests, r.P50, r.P99, r.P999, baseline.P99, r.CoverageMin, baseline.CoverageMin, r.ExtraLoad,
		r.Goodput, baseline.Goodput, r.Refused, r.Unanswered, violations, r.CrashedServers, r.WorkAfterWithdrawal, r.ConfigInForceDelay, r.RecoveryS)
}

// replaceGeneratedPart overwrites the generated part of a document with text.
func replaceGeneratedPart(document string, text []byte) error {
	updated, err := WithGeneratedPart(document, text)
	if err != nil {
		return err
	}
	if err := os.WriteFile(document, updated, 0o644); err != nil {
		return merry.Wrap(err)
	}
	return nil
}

// WithGeneratedPart returns the content of a document with text as its generated
// part. It fails if the markers of the generated part are missing.
func WithGeneratedPart(document string, text []byte) ([]byte, error) {
	data, err := os.ReadFile(document)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	begin := bytes.Index(data, []byte(beginMarker))
	end := bytes.Index(data, []byte(endMarker))
	if begin < 0 || end < begin {
		return nil, merry.Errorf("document %s has no markers of a generated part", document)
	}
	var updated bytes.Buffer
	updated.Write(data[:begin+len(beginMarker)])
	updated.WriteString("\n\n")
	updated.Write(text)
	updated.WriteString("\n")
	updated.Write(data[end:])
	return updated.Bytes(), nil
}
