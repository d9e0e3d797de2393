package simfleet

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrInvalidDeployment marks a deployment that cannot be played.
var ErrInvalidDeployment = errors.New("simfleet: bad deployment")

// Read decodes a deployment. Unknown fields are errors.
func Read(data []byte) (*Deployment, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	d := &Deployment{}
	if err := decoder.Decode(d); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "simfleet: decode"), ErrInvalidDeployment)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.Mark(errors.New("simfleet: data after the deployment"), ErrInvalidDeployment)
	}
	return d, d.check()
}

// check returns the first fault of a deployment.
func (d *Deployment) check() error {
	wrong := func(format string, args ...any) error {
		return errors.Mark(errors.Newf("simfleet: "+format, args...), ErrInvalidDeployment)
	}
	load := 0.0
	for _, z := range d.Zones {
		if z.Instances < 1 || z.Load < 0 {
			return wrong("zone %q needs instances and a load of at least 0", z.Name)
		}
		load += z.Load
	}
	if d.Length <= 0 || load <= 0 {
		return wrong("length_s and the load of some zone must be positive")
	}
	for _, s := range d.Services {
		if s.Replicas < 1 || s.Slots < 1 || s.MaxQueue < 0 {
			return wrong("service %q needs replicas and slots", s.Name)
		}
		if slices.ContainsFunc(s.Slowness, func(x float64) bool { return x <= 0 }) {
			return wrong("service %q has a slowness that is not positive", s.Name)
		}
		if e := s.Engine; e != nil && (e.KVTokens < 1 || e.Step <= 0 || e.StepsPerEvent < 1 || e.PrefillSpeed <= 0 || e.ChunkTokens < 4 ||
			e.PrefillShare < 0 || e.PrefillShare >= 1 || e.TransferTime < 0 || e.FirstEventOverhead < 0 || e.AttentionTime < 0 || e.StageChangeTime < 0 || e.StepPerSlot < 0) {
			return wrong("the engine of service %q has a value out of range", s.Name)
		}
	}
	for _, k := range d.Kinds {
		s := d.service(k.Service)
		switch {
		case s == nil:
			return wrong("kind %q has an unknown service", k.Name)
		case k.Rate <= 0 || k.Target <= 0 || k.Deadline < k.Target || k.Credit <= 0 || k.LateCredit < 0 || k.CallerRetries < 0:
			return wrong("kind %q has a value out of range", k.Name)
		case s.Engine != nil && (k.OwnTokens < 1 || k.Events < 1):
			return wrong("kind %q needs own_tokens and events", k.Name)
		case s.Engine == nil && k.ServiceTime <= 0:
			return wrong("kind %q needs work_ms", k.Name)
		case slices.ContainsFunc(k.Shared, func(s SharedLevel) bool { return s.Segments < 1 || s.Tokens < 1 }):
			return wrong("kind %q needs subjects and tokens in each shared part", k.Name)
		}
	}
	for _, b := range d.Bursts {
		if !slices.ContainsFunc(d.Kinds, func(k Kind) bool { return k.Name == b.Kind }) || b.At < 0 || b.For <= 0 || b.Factor < 0 {
			return wrong("burst of %q has a value out of range", b.Kind)
		}
	}
	for _, f := range d.Faults {
		if d.service(f.Service) == nil || f.At < 0 || f.For <= 0 || f.Share <= 0 || f.Share > 1 ||
			f.Kind != Crash && (f.Kind != Slow || f.Factor < 1) {
			return wrong("fault %q has a value out of range", f.Kind)
		}
	}
	return nil
}

func (d *Deployment) service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}
