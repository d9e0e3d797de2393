// Package settings holds a process's own settings: what it must know before it can read the shared configuration.
package settings

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/config"
	"rhubarbpoint/internal/strict"
)

// ErrInvalid marks settings that were refused; the message lists every fault.
var ErrInvalid = errors.New("settings: invalid")

// Settings is one instance's settings file, in JSON.
type Settings struct {
	// Instance is the name of this instance. The process adds a random suffix, so that a restart is a new member.
	Instance string `json:"instance" required:"true" format:"name"`
	// Region says where the instance stands. It is listed in the network section of the configuration.
	Region string `json:"region" required:"true" format:"name"`
	// Zone is the availability zone within the region.
	Zone string `json:"zone" required:"true" format:"name"`
	// CallerListen is the IP:port for callers. The three listeners have different addresses.
	CallerListen string `json:"caller_listen" required:"true" format:"addrport"`
	// PeerListen is the IP:port for other instances, who must be able to reach it.
	PeerListen string `json:"peer_listen" required:"true" format:"addrport"`
	// OperatorListen is the IP:port for operators.
	OperatorListen string `json:"operator_listen" required:"true" format:"addrport"`
	// Platform is the IP:port of the platform's service. Without it the instance runs from ConfigFile alone, which must
	// then be set.
	Platform string `json:"platform,omitempty" format:"addrport"`
	// Peers lists IP:port of peer listeners to ask while the platform is down.
	Peers []string `json:"peers,omitempty" format:"addrport"`
	// ConfigFile is a document to start from when there is no platform.
	ConfigFile string `json:"config_file,omitempty" format:"text"`
	// DrainDelay is how long a stopping instance goes on accepting while the balancer lags; 0s to 5m. Default 5s.
	DrainDelay config.Duration `json:"drain_delay" default:"5s" min:"0s" max:"5m"`
	// TraceFile, when set, gets a record of each model request in the benchmark's trace format.
	TraceFile string `json:"trace_file,omitempty" format:"text"`
}

// Load reads and checks a settings file. The error of refused settings is an *InvalidError; one of reading the file is
// marked with ErrInvalid too.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return Parse(data)
}

// Parse reads and checks settings, and sets defaults. It returns an *InvalidError with all faults.
func Parse(data []byte) (*Settings, error) {
	var s Settings
	faults := strict.Decode(data, &s)
	faults = append(faults, s.check(faults)...)
	if len(faults) > 0 {
		return nil, &InvalidError{Faults: faults}
	}
	return &s, nil
}

// check applies the rules that concern more than one field. Fields that decoding refused are empty.
func (s *Settings) check(decoding []strict.Fault) []strict.Fault {
	var faults []strict.Fault
	taken := make(map[string]string)
	for _, l := range []struct{ name, value string }{
		{"caller_listen", s.CallerListen}, {"peer_listen", s.PeerListen}, {"operator_listen", s.OperatorListen},
	} {
		if other, used := taken[l.value]; used && l.value != "" {
			faults = append(faults, strict.Fault{
				Path: l.name, Value: strict.Quote(l.value), Allowed: "an address other than that of " + other,
			})
		}
		taken[l.value] = l.name
	}
	if s.Platform == "" && s.ConfigFile == "" && !refused(decoding, "platform", "config_file", "") {
		faults = append(faults, strict.Fault{Path: "platform", Allowed: "platform or config_file to be set"})
	}
	return faults
}

func refused(faults []strict.Fault, paths ...string) bool {
	for _, f := range faults {
		for _, path := range paths {
			if f.Path == path {
				return true
			}
		}
	}
	return false
}
