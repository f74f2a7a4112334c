package chart

import (
	"io"
	"maps"
	"math"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
)

// gap marks a second without a value, which is drawn as a break in the line.
const gap = "-"

// series is one line of a plot, with a value or a gap for each second.
type series struct {
	name   string
	values []opts.LineData
}

// Render writes the run as one page of plots.
func Render(w io.Writer, r *Run) error {
	page := components.NewPage()
	page.PageTitle = "run from " + r.start.UTC().Format("2006-01-02 15:04:05")
	page.AddCharts(
		r.plot("Latency in ms", "median over all answers, and the largest 99th percentile of any VM",
			r.line("median", func(s *second) (float64, bool) { return s.mean(s.median) }),
			r.line("p99", func(s *second) (float64, bool) { return s.slowest, s.answered > 0 })),
		r.plot("Coverage", "mean share of the shards in an answer",
			r.line("coverage", func(s *second) (float64, bool) { return s.mean(s.coverage) })),
		r.plot("Answers a second", "all, those within the aim, and those that lack parts",
			r.line("answered", func(s *second) (float64, bool) { return s.answered, true }),
			r.line("in time", func(s *second) (float64, bool) { return s.inTime, true }),
			r.line("in part", func(s *second) (float64, bool) { return s.partial, true })),
		r.plot("Not answered a second", "refusals and failures by status, and callers that left", r.refusals()...),
		r.plot("Configuration in force", "version by VM", r.adopted()...),
	)
	if err := page.Render(w); err != nil {
		return errors.Errorf("draw run: %w", err)
	}
	return nil
}

func (r *Run) plot(title, subtitle string, lines ...series) *charts.Line {
	c := charts.NewLine()
	c.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: title, Subtitle: subtitle}),
		charts.WithLegendOpts(opts.Legend{Top: "bottom"}),
		charts.WithXAxisOpts(opts.XAxis{Name: "s"}),
	)
	seconds := make([]int, len(r.seconds))
	for i := range seconds {
		seconds[i] = i
	}
	c.SetXAxis(seconds)
	for _, l := range lines {
		c.AddSeries(l.name, l.values)
	}
	return c
}

func (r *Run) line(name string, value func(*second) (float64, bool)) series {
	values := make([]opts.LineData, len(r.seconds))
	for i := range r.seconds {
		values[i].Value = gap
		if v, ok := value(&r.seconds[i]); ok {
			values[i].Value = math.Round(1e4*v) / 1e4
		}
	}
	return series{name, values}
}

func (r *Run) refusals() []series {
	out := make([]series, 0, len(r.statuses)+1)
	for _, status := range r.statuses {
		out = append(out, r.line(status, func(s *second) (float64, bool) { return s.refused[status], true }))
	}
	return append(out, r.line("left", func(s *second) (float64, bool) { return s.left, true }))
}

// adopted returns a line for each VM that rises when it takes a version.
func (r *Run) adopted() []series {
	var out []series
	for _, vm := range slices.Sorted(maps.Keys(r.versions)) {
		values := make([]opts.LineData, len(r.seconds))
		taken := r.versions[vm]
		var now any = gap
		for i := range values {
			for len(taken) > 0 && taken[0].at <= i {
				now, taken = taken[0].number, taken[1:]
			}
			values[i].Value = now
		}
		out = append(out, series{vm, values})
	}
	return out
}
