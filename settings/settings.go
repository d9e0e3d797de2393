// Package settings holds the settings of one process: what it needs before it can read the shared configuration.
package settings

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/config"
	"rhubarbpoint/internal/strict"
)

// ErrInvalid marks settings that are invalid or cannot be read; the message lists every fault.
var ErrInvalid = errors.New("settings: invalid")

// Settings is the settings file of one instance, in JSON.
type Settings struct {
	// Instance is the name of this instance. The process adds a random suffix, so that a restart is a new member.
	Instance string `json:"instance" required:"true" format:"name"`
	// Region is the region in which the instance runs. It is listed in the network section of the configuration.
	Region string `json:"region" required:"true" format:"name"`
	// Zone is the availability zone within the region.
	Zone string `json:"zone" required:"true" format:"name"`
	// CallerListen is the IP:port of the listener for callers. The addresses of all listeners must differ.
	CallerListen string `json:"caller_listen" required:"true" format:"addrport"`
	// PeerListen is the IP:port of the listener for other instances, which must be able to reach it.
	PeerListen string `json:"peer_listen" required:"true" format:"addrport"`
	// OperatorListen is the IP:port of the listener for operators.
	OperatorListen string `json:"operator_listen" required:"true" format:"addrport"`
	// MetricsListen is the IP:port of a listener that serves only /metrics. Without it, only the operator listener
	// serves /metrics.
	MetricsListen string `json:"metrics_listen,omitempty" format:"addrport"`
	// Platform is the IP:port of the platform's service. Without it the instance runs from ConfigFile alone, which must
	// then be set.
	Platform string `json:"platform,omitempty" format:"addrport"`
	// Peers lists the IP:port of other instances' peer listeners, so that this instance finds them while the platform is
	// unavailable.
	Peers []string `json:"peers,omitempty" format:"addrport"`
	// ConfigFile is a configuration document to start from when there is no platform.
	ConfigFile string `json:"config_file,omitempty" format:"text"`
	// Routes says where the routes of requests are defined: "document" means the configuration document of this system,
	// with its interface for models and services; "platform" means the platform's store, with the routes and replicas
	// listed there. Default document.
	Routes string `json:"routes,omitempty" default:"document" format:"routes"`
	// Zones lists the availability zones of the site with their regions, for Routes "platform", where replicas state
	// only their zone.
	Zones []Zone `json:"zones,omitempty"`
	// RetryShare is the retry budget of a service as the largest number of retries per request, for Routes "platform";
	// 0 to 10. Default 0.1.
	RetryShare float64 `json:"retry_share,omitempty" default:"0.1" min:"0" max:"10"`
	// RetryWindow is the time over which retries and requests are counted for RetryShare; 100ms to 10m. Default 10s.
	RetryWindow config.Duration `json:"retry_window,omitempty" default:"10s" min:"100ms" max:"10m"`
	// ControlAPI is the IP:port of the platform's control API, for Routes "platform". Without it the instance makes no
	// calls to it.
	ControlAPI string `json:"control_api,omitempty" format:"addrport"`
	// ControlRate is the number of calls a second that the control API accepts from all instances together; 0.1 to
	// 100000. Default 50.
	ControlRate float64 `json:"control_rate,omitempty" default:"50" min:"0.1" max:"100000"`
	// ExtraWorkShare allows second attempts of slow requests of idempotent routes at another replica, for Routes "platform":
	// the largest number of second attempts per request of a service within RetryWindow; 0 to 0.5. They also use at most
	// half of the retry budget. 0 allows none. Default 0.
	ExtraWorkShare float64 `json:"extra_work_share,omitempty" default:"0" min:"0" max:"0.5"`
	// StageDemand makes the division of model replicas into stages follow the demand, for Routes "platform", where the
	// replicas have fewer than 12 batch slots. Then one instance holds the duties all the time, and the instances report
	// the demand. Default false.
	StageDemand bool `json:"stage_demand,omitempty"`
	// LinkMbps is the bandwidth of the link of this instance in Mbit/s, for Routes "platform"; 0 to 1000000. Instances with
	// a small link leave the duties to others, because a burst of requests that fills the link would interrupt them.
	// Without it, or with 0, no bandwidth is considered.
	LinkMbps float64 `json:"link_mbps,omitempty" min:"0" max:"1000000"`
	// StopWithin bounds a graceful stop, for Routes "platform": the platform kills the process after this time; 1s to
	// 1h. Default 8s.
	StopWithin config.Duration `json:"stop_within,omitempty" default:"8s" min:"1s" max:"1h"`
	// RevokeWithin is the time after the store's acknowledgement of a configuration that removes an API key, from which no
	// request that is sent with this key may run, for Routes "platform"; 100ms to 1h. An instance that cannot tell refuses
	// requests with keys. Without it, the age of what the instance knows is not checked.
	RevokeWithin config.Duration `json:"revoke_within,omitempty" min:"100ms" max:"1h"`
	// UsageWindow is the length of the windows of true time for which the usage of each workspace is reported to the
	// platform, for Routes "platform"; 0s to 10m, where 0s means that none is reported, and 1s is the least other value.
	// Default 0s.
	UsageWindow config.Duration `json:"usage_window,omitempty" default:"0s" min:"0s" max:"10m"`
	// UsageDue is how long after the end of a window its report must have arrived; 1s to 10m. Default 10s.
	UsageDue config.Duration `json:"usage_due,omitempty" default:"10s" min:"1s" max:"10m"`
	// MemoryMB is the memory of the machine in megabytes, from which the bounds for bytes held for requests are derived; 0 to
	// 1000000, where 0 means that there are no bounds, and 32 is the least other value. Default 0.
	MemoryMB int `json:"memory_mb,omitempty" default:"0" min:"0" max:"1000000"`
	// DrainDelay is how long a stopping instance still accepts requests, until the load balancer has noticed that it is
	// not ready; 0s to 5m. Default 5s.
	DrainDelay config.Duration `json:"drain_delay" default:"5s" min:"0s" max:"5m"`
	// TraceFile, if set, is a file to which a record of each model request is written in the benchmark's trace format.
	TraceFile string `json:"trace_file,omitempty" format:"text"`
}

// minUsageWindow is the least length of a window. Instances report their counts each second.
const minUsageWindow = time.Second

// minMemoryMB is the least memory for which bounds are derived. With less, no body of the default limit would fit.
const minMemoryMB = 32

// Values of Settings.Routes.
const (
	RoutesFromDocument = "document"
	RoutesFromPlatform = "platform"
)

// Load reads and checks a settings file. It returns an *InvalidError for invalid settings. An error that occurs when
// the file is read also matches ErrInvalid.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return Parse(data)
}

// Parse reads and checks settings, and sets defaults. It returns an *InvalidError that lists all faults.
func Parse(data []byte) (*Settings, error) {
	var s Settings
	faults := strict.Decode(data, &s)
	faults = append(faults, s.check(faults)...)
	if len(faults) > 0 {
		return nil, &InvalidError{Faults: faults}
	}
	return &s, nil
}

// check applies the rules that involve more than one field. Fields whose decoding failed are empty.
func (s *Settings) check(decodeFaults []strict.Fault) []strict.Fault {
	var faults []strict.Fault
	taken := make(map[string]string)
	for _, l := range []struct{ name, value string }{
		{"caller_listen", s.CallerListen}, {"peer_listen", s.PeerListen}, {"operator_listen", s.OperatorListen},
		{"metrics_listen", s.MetricsListen},
	} {
		if other, used := taken[l.value]; used && l.value != "" {
			faults = append(faults, strict.Fault{
				Path: l.name, Value: strict.Quote(l.value), Allowed: "an address other than that of " + other,
			})
		}
		taken[l.value] = l.name
	}
	if s.Platform == "" && s.ConfigFile == "" && !hasFault(decodeFaults, "platform", "config_file", "") {
		faults = append(faults, strict.Fault{Path: "platform", Allowed: "platform or config_file to be set"})
	}
	if w := s.UsageWindow.D(); w != 0 && w < minUsageWindow && !hasFault(decodeFaults, "usage_window", "") {
		faults = append(faults, strict.Fault{Path: "usage_window", Value: strict.Quote(s.UsageWindow.String()), Allowed: "0s or at least " + minUsageWindow.String()})
	}
	if s.MemoryMB != 0 && s.MemoryMB < minMemoryMB && !hasFault(decodeFaults, "memory_mb", "") {
		faults = append(faults, strict.Fault{Path: "memory_mb", Value: strconv.Itoa(s.MemoryMB), Allowed: "0 or at least " + strconv.Itoa(minMemoryMB)})
	}
	if s.Routes == RoutesFromPlatform && s.Platform == "" && !hasFault(decodeFaults, "platform", "") {
		faults = append(faults, strict.Fault{Path: "platform", Allowed: "an address, because routes is \"platform\""})
	}
	return faults
}

func hasFault(faults []strict.Fault, paths ...string) bool {
	for _, f := range faults {
		for _, path := range paths {
			if f.Path == path {
				return true
			}
		}
	}
	return false
}
