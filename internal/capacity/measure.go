package capacity

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Result is the average cost per instance, and the time in which a change reaches all instances.
type Result struct {
	FleetSize                         FleetSize
	Live                              int     // members seen by the instance that sees the fewest
	BytesIn                           float64 // per second, including yamux framing
	BytesOut                          float64
	MaxBytes                          float64 // received and sent, of the busiest instance
	PacketsOut                        float64 // writes per second
	Calls                             float64 // sent per second
	LoadBytes, MemberBytes, ZoneBytes float64 // of records sent, per second
	HeartbeatBytes                    float64
	RepeatedShare                     float64 // share of received load records that were already known
	Polls                             float64
	LoadAgeP50                        time.Duration // age of the load records in use
	LoadAgeP99                        time.Duration
	CPUShare                          float64 // share of a CPU core
	MemoryMB                          float64 // heap and stacks in use after a garbage collection
	Sessions                          float64
	ListReads                         float64 // of the whole fleet per second
	ConfigPropagation                 time.Duration
	ConfigBytes                       float64 // received for one configuration change
	DocumentBytes                     int
	LeavingPropagation                time.Duration
	MissingLoads                      int // load records that instances lack
}

// Run starts a fleet, waits for warmUp, measures for duration and then measures the time in which a configuration
// change and a leaving upstream become known to all instances.
func Run(size FleetSize, warmUp, duration time.Duration) (*Result, error) {
	runtime.GC()
	f, err := Start(size)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	time.Sleep(warmUp)
	r := &Result{FleetSize: size, Live: size.Instances}
	f.measure(r, duration)
	for _, n := range f.nodes {
		r.Live = min(r.Live, len(n.service.Live()))
	}
	f.measurePropagation(r)
	return r, nil
}

// measure fills the result's rates, load ages and memory, from the difference of all counters over the duration.
func (f *Fleet) measure(r *Result, duration time.Duration) {
	before, cpuBefore, readsBefore := f.counters(), cpuTime(), f.directoryReads()
	began := time.Now()
	time.Sleep(duration)
	seconds := time.Since(began).Seconds()
	after, cpu := f.counters(), cpuTime()-cpuBefore
	instanceSeconds := seconds * float64(len(f.nodes))
	rate := func(name string) float64 {
		var sum int64
		for i := range after {
			sum += after[i][name] - before[i][name]
		}
		return float64(sum) / instanceSeconds
	}
	for i := range after {
		bytes := after[i]["peer.bytes_in"] + after[i]["peer.bytes_out"] - before[i]["peer.bytes_in"] - before[i]["peer.bytes_out"]
		r.MaxBytes = max(r.MaxBytes, float64(bytes)/seconds)
	}
	r.BytesIn, r.BytesOut, r.PacketsOut = rate("peer.bytes_in"), rate("peer.bytes_out"), rate("peer.packets_out")
	r.Calls, r.Polls = rate("peer.calls"), rate("member.polls")
	r.LoadBytes, r.MemberBytes = rate("member.record_bytes_load"), rate("member.record_bytes_member")
	r.ZoneBytes, r.HeartbeatBytes = rate("member.record_bytes_zone"), rate("member.beat_bytes")
	if loads := rate("member.loads_received"); loads > 0 {
		r.RepeatedShare = rate("member.loads_repeated") / loads
	}
	r.ListReads = float64(f.directoryReads()-readsBefore) / seconds
	r.CPUShare = cpu.Seconds() / instanceSeconds
	for i := range after {
		r.Sessions += float64(after[i]["peer.sessions"]) / float64(len(f.nodes))
	}
	f.measureLoadAges(r)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	r.MemoryMB = float64(m.HeapInuse+m.StackInuse) / float64(len(f.nodes)) / 1e6
}

// measureLoadAges fills the result's ages of load records, of which each instance holds those of the engines of its
// zone.
func (f *Fleet) measureLoadAges(r *Result) {
	now := time.Now()
	var ages []time.Duration
	for _, n := range f.nodes {
		n.mu.Lock()
		for _, e := range f.doc.Models.Engines {
			if e.Zone != n.zone {
				continue
			}
			if at, known := n.loads[e.ID]; known {
				ages = append(ages, now.Sub(at))
			} else {
				r.MissingLoads++
			}
		}
		n.mu.Unlock()
	}
	if len(ages) > 0 {
		slices.Sort(ages)
		r.LoadAgeP50, r.LoadAgeP99 = ages[len(ages)/2], ages[len(ages)*99/100]
	}
}

// measurePropagation measures the time in which all instances learn of a configuration change that one instance has,
// and of a leaving upstream that one instance observes.
func (f *Fleet) measurePropagation(r *Result) {
	const limit = 30 * time.Second
	changed := *f.doc
	changed.Version = 2
	data := encode(&changed)
	r.DocumentBytes = len(data)
	before := f.counters()
	began := time.Now()
	f.nodes[0].setConfig(2, &changed, data)
	r.ConfigPropagation = f.waitAll(began, limit, func(n *node) (time.Time, bool) { return n.configChanged, n.version == 2 })
	after := f.counters()
	seconds := time.Since(began).Seconds()
	for i := range after {
		r.ConfigBytes += float64(after[i]["peer.bytes_in"]-before[i]["peer.bytes_in"]) / float64(len(after))
	}
	r.ConfigBytes -= r.BytesIn * seconds
	began = time.Now()
	f.nodes[len(f.nodes)/2].service.MarkUpstreamLeaving(f.doc.Models.Engines[0].ID, 1)
	r.LeavingPropagation = f.waitAll(began, limit, func(n *node) (time.Time, bool) { return n.leavingSeen, !n.leavingSeen.IsZero() })
}

// waitAll waits until all instances have reached a state. It returns the time from began until the last did, or the
// limit.
func (f *Fleet) waitAll(began time.Time, limit time.Duration, reached func(*node) (time.Time, bool)) time.Duration {
	for time.Since(began) < limit {
		all, last := true, began
		for _, n := range f.nodes {
			n.mu.Lock()
			at, ok := reached(n)
			n.mu.Unlock()
			all = all && ok
			if at.After(last) {
				last = at
			}
		}
		if all {
			return last.Sub(began)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return limit
}

func (f *Fleet) directoryReads() int {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.reads
}

func (f *Fleet) counters() []map[string]int64 {
	all := make([]map[string]int64, len(f.nodes))
	for i, n := range f.nodes {
		all[i] = make(map[string]int64)
		n.metrics.Each(func(name string, metric any) {
			switch m := metric.(type) {
			case metrics.Counter:
				all[i][name] = m.Count()
			case metrics.Gauge:
				all[i][name] = m.Value()
			}
		})
	}
	return all
}

// cpuTime returns the CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Header names the columns of Result.String.
const Header = "instances,engines,zones,live,in B/s,out B/s,worst in+out B/s,packets/s,calls/s,loads B/s,members B/s,zones B/s,beats B/s," +
	"repeated,polls/s,load age p50,load age p99,missing,core %,MB,sessions,list reads/s,config spread,config B,document B,leaving spread"

// String returns the result as one line of comma-separated values.
func (r *Result) String() string {
	return fmt.Sprintf("%d,%d,%d,%d,%.0f,%.0f,%.0f,%.1f,%.1f,%.0f,%.0f,%.0f,%.0f,%.2f,%.1f,%v,%v,%d,%.2f,%.2f,%.1f,%.1f,%v,%.0f,%d,%v",
		r.FleetSize.Instances, r.FleetSize.Engines, r.FleetSize.Regions*r.FleetSize.ZonesPerRegion, r.Live, r.BytesIn, r.BytesOut,
		r.MaxBytes, r.PacketsOut, r.Calls, r.LoadBytes, r.MemberBytes, r.ZoneBytes, r.HeartbeatBytes, r.RepeatedShare, r.Polls,
		r.LoadAgeP50.Round(time.Millisecond), r.LoadAgeP99.Round(time.Millisecond), r.MissingLoads, 100*r.CPUShare, r.MemoryMB,
		r.Sessions, r.ListReads, r.ConfigPropagation.Round(time.Millisecond), r.ConfigBytes, r.DocumentBytes,
		r.LeavingPropagation.Round(time.Millisecond))
}
