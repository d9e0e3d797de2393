// Package settings holds a process's own settings: what it must know before it can read the shared configuration.
package settings

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/config"
)

// ErrInvalid marks settings that were refused; the message lists every fault.
var ErrInvalid = errors.New("settings: invalid")

// Settings is one instance's settings file, in JSON.
type Settings struct {
	// Instance is the name of this instance. The process adds a random suffix, so that a restart is a new member.
	Instance string `json:"instance"`
	// Region and Zone say where the instance stands.
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// CallerListen, PeerListen and OperatorListen are the IP:port of the three listeners.
	CallerListen   string `json:"caller_listen"`
	PeerListen     string `json:"peer_listen"`
	OperatorListen string `json:"operator_listen"`
	// Platform is the IP:port of the platform's service. Without it the instance runs from ConfigFile alone.
	Platform string `json:"platform,omitempty"`
	// Peers lists IP:port of peer listeners to ask while the platform is down.
	Peers []string `json:"peers,omitempty"`
	// ConfigFile is a document to start from when there is no platform.
	ConfigFile string `json:"config_file,omitempty"`
	// DrainDelay is how long a stopping instance goes on accepting while the balancer lags. Default 5s.
	DrainDelay config.Duration `json:"drain_delay,omitempty"`
	// TraceFile, when set, gets a record of each model request in the benchmark's trace format.
	TraceFile string `json:"trace_file,omitempty"`
}

// Load reads and checks a settings file. Unknown fields are refused.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "settings"), ErrInvalid)
	}
	return Parse(data)
}

// Parse reads and checks settings.
func Parse(data []byte) (*Settings, error) {
	var s Settings
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "settings"), ErrInvalid)
	}
	if err := s.check(); err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	return &s, nil
}

func (s *Settings) check() error {
	var faults error
	for _, field := range []struct{ name, value string }{
		{"instance", s.Instance}, {"region", s.Region}, {"zone", s.Zone},
	} {
		if field.value == "" {
			faults = errors.CombineErrors(faults, errors.Newf("settings: %s must be set", field.name))
		}
	}
	for _, field := range []struct{ name, value string }{
		{"caller_listen", s.CallerListen}, {"peer_listen", s.PeerListen}, {"operator_listen", s.OperatorListen},
	} {
		if _, err := netip.ParseAddrPort(field.value); err != nil {
			faults = errors.CombineErrors(faults, errors.Newf("settings: %s must be IP:port, got %q", field.name, field.value))
		}
	}
	if s.Platform == "" && s.ConfigFile == "" {
		faults = errors.CombineErrors(faults, errors.New("settings: platform or config_file must be set"))
	}
	return faults
}
