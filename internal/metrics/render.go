package metrics

import (
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// ContentType is the media type of the output of Render.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// series is one registered metric.
type series struct {
	family string // name without labels
	labels string // labels without braces
	kind   string // counter, gauge or summary
	metric any
}

// Render writes every metric of r, sorted by name. Timers are written in seconds.
// Summaries have no _sum, because the registry keeps only the sum of the samples
// in the reservoir.
func Render(w io.Writer, r gometrics.Registry) error {
	var b strings.Builder
	family := ""
	for _, s := range collect(r) {
		if s.family != family {
			family = s.family
			fmt.Fprintf(&b, "# TYPE %s %s\n", family, s.kind)
		}
		s.write(&b)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func collect(r gometrics.Registry) []series {
	var all []series
	r.Each(func(name string, metric any) {
		kind := kindOf(metric)
		if kind == "" {
			return
		}
		family, labels := splitName(name)
		all = append(all, series{family, labels, kind, metric})
	})
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if a.family != b.family {
			return a.family < b.family
		}
		return a.labels < b.labels
	})
	return all
}

// kindOf returns the Prometheus type of a metric, or an empty string if it is not
// rendered.
func kindOf(metric any) string {
	switch metric.(type) {
	case gometrics.Counter, gometrics.Meter:
		return "counter"
	case gometrics.Gauge, gometrics.GaugeFloat64:
		return "gauge"
	case gometrics.Timer, gometrics.Histogram:
		return "summary"
	}
	return ""
}

// splitName splits a registry name into the family, with characters that the
// format forbids replaced, and the labels without braces.
func splitName(name string) (family, labels string) {
	family, labels, _ = strings.Cut(name, "{")
	return strings.Map(replaceIllegal, family), strings.TrimSuffix(labels, "}")
}

func replaceIllegal(r rune) rune {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_', r == ':':
		return r
	}
	return '_'
}

func (s series) write(b *strings.Builder) {
	switch m := s.metric.(type) {
	case gometrics.Counter:
		s.writeLine(b, "", "", float64(m.Count()))
	case gometrics.Gauge:
		s.writeLine(b, "", "", float64(m.Value()))
	case gometrics.GaugeFloat64:
		s.writeLine(b, "", "", m.Value())
	case gometrics.Timer:
		t := m.Snapshot()
		s.writeSummary(b, t.Percentiles(quantiles), t.Count(), float64(time.Second))
	case gometrics.Histogram:
		h := m.Snapshot()
		s.writeSummary(b, h.Percentiles(quantiles), h.Count(), 1)
	case gometrics.Meter:
		s.writeLine(b, "", "", float64(m.Count()))
	}
}

// writeSummary writes the quantiles, each divided by unit, and the count.
func (s series) writeSummary(b *strings.Builder, values []float64, count int64, unit float64) {
	for i, q := range quantiles {
		label := `quantile="` + strconv.FormatFloat(q, 'g', -1, 64) + `"`
		s.writeLine(b, "", label, values[i]/unit)
	}
	s.writeLine(b, "_count", "", float64(count))
}

func (s series) writeLine(b *strings.Builder, suffix, extraLabel string, value float64) {
	labels := s.labels
	if labels != "" && extraLabel != "" {
		labels += ","
	}
	labels += extraLabel
	b.WriteString(s.family + suffix)
	if labels != "" {
		b.WriteString("{" + labels + "}")
	}
	b.WriteString(" " + strconv.FormatFloat(value, 'g', -1, 64) + "\n")
}
