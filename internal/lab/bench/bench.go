package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/opts"
)

// Row holds the figures of one variant of a measure, in the order of the report's columns.
type Row struct {
	Name    string    `json:"name"`
	Figures []float64 `json:"figures"`
}

// Report is the result of a measure. Met reports whether the figures meet the target.
type Report struct {
	Name    string   `json:"name"`
	Seed    uint64   `json:"seed"`
	Target  string   `json:"target"`
	Met     bool     `json:"met"`
	Columns []string `json:"columns"`
	Rows    []Row    `json:"rows"`
	Notes   []string `json:"notes,omitempty"`
}

// Measure runs a measure with a seed and returns its report.
type Measure func(seed uint64) (Report, error)

var measures = map[string]Measure{
	"tail":     measureTailLatency,
	"coverage": measureCoverage,
	"domain":   measureDomainOutage,
	"fair":     measureFairness,
	"refuse":   measureRefusals,
	"cold":     measureColdStart,
	"cost":     measureCost,
	"control":  measureControlTraffic,
	"surge":    measureSurge,
}

// Names returns the names of the measures in alphabetical order.
func Names() []string {
	var out []string
	for name := range measures {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Run runs the measure with the given name and fails if there is none.
func Run(name string, seed uint64) (Report, error) {
	m := measures[name]
	if m == nil {
		return Report{}, errors.Newf("unknown measure %q, want one of %s", name, strings.Join(Names(), ", "))
	}
	r, err := m(seed)
	if err != nil {
		return Report{}, errors.Errorf("measure %s: %w", name, err)
	}
	r.Name, r.Seed = name, seed
	return r, nil
}

// Table formats a report as a text table.
func Table(r Report) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s (seed %d)\ntarget: %s\n%-34s", r.Name, r.Seed, r.Target, "")
	for _, c := range r.Columns {
		fmt.Fprintf(&b, "%16s", c)
	}
	b.WriteByte('\n')
	for _, row := range r.Rows {
		fmt.Fprintf(&b, "%-34s", row.Name)
		for _, f := range row.Figures {
			fmt.Fprintf(&b, "%16.4g", f)
		}
		b.WriteByte('\n')
	}
	for _, n := range r.Notes {
		b.WriteString(n + "\n")
	}
	verdict := "missed"
	if r.Met {
		verdict = "met"
	}
	b.WriteString("the target is " + verdict + "\n")
	return b.String()
}

// Plot writes the report to the folder dir, as an HTML file named after the measure with one bar chart per column.
func Plot(dir string, r Report) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Errorf("plot: %w", err)
	}
	f, err := os.Create(filepath.Join(dir, r.Name+".html"))
	if err != nil {
		return errors.Errorf("plot: %w", err)
	}
	defer func() { _ = f.Close() }()
	for i, column := range r.Columns {
		bar := charts.NewBar()
		bar.SetGlobalOptions(charts.WithTitleOpts(opts.Title{Title: r.Name + ": " + column, Subtitle: r.Target}))
		var names []string
		var data []opts.BarData
		for _, row := range r.Rows {
			names = append(names, row.Name)
			data = append(data, opts.BarData{Value: row.Figures[i]})
		}
		bar.SetXAxis(names).AddSeries(column, data)
		if err := bar.Render(f); err != nil {
			return errors.Errorf("plot: %w", err)
		}
	}
	return nil
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
