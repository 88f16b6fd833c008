package timeline

import (
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot. Its height is plotMargin plus plotRowHeight for each host.
const (
	plotWidth     = 30 * vg.Centimeter
	plotRowHeight = 1.2 * vg.Centimeter
	plotMargin    = 6 * vg.Centimeter
)

// ErrNoEvents reports that there is nothing to plot.
var ErrNoEvents = errors.New("timeline: no events")

// WritePlot writes events as an image in the format "png" or "svg". The image has a row
// for each host and shows the events from left to right in their given order, with a
// symbol for each kind.
func WritePlot(w io.Writer, format string, events []Event) error {
	if len(events) == 0 {
		return ErrNoEvents
	}
	hosts := hostsOf(events)
	p := plot.New()
	p.Title.Text = "Events by host"
	p.X.Label.Text = "order"
	p.Y.Min = -0.5
	p.Y.Max = float64(len(hosts)) - 0.5
	p.NominalY(hosts...)
	p.Legend.Top = true
	if err := addKinds(p, events, hosts); err != nil {
		return err
	}
	height := plotMargin + plotRowHeight*vg.Length(len(hosts))
	image, err := p.WriterTo(plotWidth, height, format)
	if err != nil {
		return errors.Wrap(err, "timeline: plot")
	}
	_, err = image.WriteTo(w)
	return errors.Wrap(err, "timeline: write plot")
}

// addKinds adds the events to the plot, with a symbol and a legend entry for each kind.
func addKinds(p *plot.Plot, events []Event, hosts []string) error {
	var kinds []Kind
	points := make(map[Kind]plotter.XYs)
	for i, event := range events {
		if _, seen := points[event.Kind]; !seen {
			kinds = append(kinds, event.Kind)
		}
		row := slices.Index(hosts, event.Host)
		points[event.Kind] = append(points[event.Kind], plotter.XY{X: float64(i + 1), Y: float64(row)})
	}
	for i, kind := range kinds {
		scatter, err := plotter.NewScatter(points[kind])
		if err != nil {
			return errors.Wrap(err, "timeline: plot")
		}
		scatter.Color = plotutil.Color(i)
		scatter.Shape = plotutil.Shape(i)
		p.Add(scatter)
		p.Legend.Add(string(kind), scatter)
	}
	return nil
}

// hostsOf returns the hosts of the events, ordered by name and without duplicates.
func hostsOf(events []Event) []string {
	var hosts []string
	for _, event := range events {
		hosts = append(hosts, event.Host)
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}
