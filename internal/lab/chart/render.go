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

// gap is the value of a second without data, which breaks the plotted line.
const gap = "-"

// series is one line of a plot, with a value or gap for each second.
type series struct {
	name   string
	values []opts.LineData
}

// Render writes the run to w as one HTML page of plots.
func Render(w io.Writer, r *Run) error {
	page := components.NewPage()
	page.PageTitle = "run from " + r.start.UTC().Format("2006-01-02 15:04:05")
	page.AddCharts(
		r.lineChart("Latency in ms", "median over all answers, and the largest 99th percentile of any VM",
			r.newSeries("median", func(s *secondStats) (float64, bool) { return s.mean(s.medianSum) }),
			r.newSeries("p99", func(s *secondStats) (float64, bool) { return s.maxP99, s.answered > 0 })),
		r.lineChart("Coverage", "mean fraction of the shards in an answer",
			r.newSeries("coverage", func(s *secondStats) (float64, bool) { return s.mean(s.coverageSum) })),
		r.lineChart("Answers a second", "all, those within the target latency, and those that lack parts",
			r.newSeries("answered", func(s *secondStats) (float64, bool) { return s.answered, true }),
			r.newSeries("in time", func(s *secondStats) (float64, bool) { return s.inTime, true }),
			r.newSeries("in part", func(s *secondStats) (float64, bool) { return s.partial, true })),
		r.lineChart("Not answered a second", "refusals and failures by status, and clients that disconnected", r.refusalSeries()...),
		r.lineChart("Configuration in force", "version by VM", r.adoptionSeries()...),
	)
	if err := page.Render(w); err != nil {
		return errors.Errorf("draw run: %w", err)
	}
	return nil
}

func (r *Run) lineChart(title, subtitle string, lines ...series) *charts.Line {
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

func (r *Run) newSeries(name string, value func(*secondStats) (float64, bool)) series {
	values := make([]opts.LineData, len(r.seconds))
	for i := range r.seconds {
		values[i].Value = gap
		if v, ok := value(&r.seconds[i]); ok {
			values[i].Value = math.Round(1e4*v) / 1e4
		}
	}
	return series{name, values}
}

func (r *Run) refusalSeries() []series {
	out := make([]series, 0, len(r.statuses)+1)
	for _, status := range r.statuses {
		out = append(out, r.newSeries(status, func(s *secondStats) (float64, bool) { return s.refused[status], true }))
	}
	return append(out, r.newSeries("left", func(s *secondStats) (float64, bool) { return s.disconnected, true }))
}

// adoptionSeries returns one line per VM: the configuration version that it used in each second.
func (r *Run) adoptionSeries() []series {
	var out []series
	for _, vm := range slices.Sorted(maps.Keys(r.adoptions)) {
		values := make([]opts.LineData, len(r.seconds))
		pending := r.adoptions[vm]
		var current any = gap
		for i := range values {
			for len(pending) > 0 && pending[0].second <= i {
				current, pending = pending[0].version, pending[1:]
			}
			values[i].Value = current
		}
		out = append(out, series{vm, values})
	}
	return out
}
