package operator

import (
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles that are exported for histograms and timers.
var quantiles = []float64{0.5, 0.9, 0.95, 0.99}

var invalidNameChar = regexp.MustCompile(`[^a-zA-Z0-9_:]`)

// WriteMetrics writes a registry in the Prometheus text format, version 0.0.4. Characters that the format does not
// allow in names are replaced by underscores; names start with rhubarbpoint_. Timers are in nanoseconds.
func WriteMetrics(w io.Writer, registry metrics.Registry) {
	byName := make(map[string]any)
	var names []string
	registry.Each(func(name string, metric any) {
		byName[name] = metric
		names = append(names, name)
	})
	slices.Sort(names)
	for _, name := range names {
		writeMetric(w, "rhubarbpoint_"+invalidNameChar.ReplaceAllString(name, "_"), byName[name])
	}
}

func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		writeValue(w, name, "counter", float64(m.Snapshot().Count()))
	case metrics.Gauge:
		writeValue(w, name, "gauge", float64(m.Snapshot().Value()))
	case metrics.GaugeFloat64:
		writeValue(w, name, "gauge", m.Snapshot().Value())
	case metrics.Meter:
		writeValue(w, name, "counter", float64(m.Snapshot().Count()))
	case metrics.Histogram:
		writeSummary(w, name, m.Snapshot())
	case metrics.Timer:
		writeSummary(w, name, m.Snapshot())
	}
}

func writeValue(w io.Writer, name, kind string, value float64) {
	fmt.Fprintf(w, "# TYPE %s %s\n%s %v\n", name, kind, name, value)
}

// summary holds the methods that histograms and timers have in common.
type summary interface {
	Count() int64
	Sum() int64
	Percentiles([]float64) []float64
}

func writeSummary(w io.Writer, name string, s summary) {
	var text strings.Builder
	fmt.Fprintf(&text, "# TYPE %s summary\n", name)
	for i, value := range s.Percentiles(quantiles) {
		fmt.Fprintf(&text, "%s{quantile=\"%v\"} %v\n", name, quantiles[i], value)
	}
	fmt.Fprintf(&text, "%s_sum %d\n%s_count %d\n", name, s.Sum(), name, s.Count())
	io.WriteString(w, text.String())
}
