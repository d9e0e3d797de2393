package activity

import (
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"rhubarbpoint/peer/peerpb"
)

// stats holds the metrics of the exchange of reports.
type stats struct {
	sent, notSent, dropped, received, bytes, fetches, fetchesFailed metrics.Counter
}

func newStats(r metrics.Registry) *stats {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("activity."+name, r) }
	return &stats{
		sent: counter("reports_sent"), notSent: counter("reports_not_sent"), dropped: counter("reports_dropped"),
		received: counter("reports_received"), bytes: counter("report_bytes"), fetches: counter("fetches"),
		fetchesFailed: counter("fetches_failed"),
	}
}

// reportSize returns the bytes of a report on the wire, without those of the call.
func reportSize(names []string, report *peerpb.ActivityReport) int {
	return proto.Size(&peerpb.PushActivity{Names: names, Report: report})
}
