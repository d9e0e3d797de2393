package simfleet

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrInvalidDeployment marks errors of invalid deployments.
var ErrInvalidDeployment = errors.New("simfleet: invalid deployment")

// Read decodes and validates a deployment. Unknown fields are errors. Errors are marked with ErrInvalidDeployment.
func Read(data []byte) (*Deployment, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	d := &Deployment{}
	if err := decoder.Decode(d); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "simfleet: decode deployment"), ErrInvalidDeployment)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.Mark(errors.New("simfleet: unexpected data after the deployment"), ErrInvalidDeployment)
	}
	return d, d.validate()
}

// validate returns the first error of a deployment.
func (d *Deployment) validate() error {
	invalid := func(format string, args ...any) error {
		return errors.Mark(errors.Newf("simfleet: "+format, args...), ErrInvalidDeployment)
	}
	load := 0.0
	for _, z := range d.Zones {
		if z.Instances < 1 || z.Load < 0 {
			return invalid("zone %q: instances is %d, must be at least 1; load is %g, must not be negative", z.Name, z.Instances, z.Load)
		}
		load += z.Load
	}
	if d.Length <= 0 || load <= 0 {
		return invalid("length_s is %g and the sum of the zones' loads is %g, both must be positive", d.Length, load)
	}
	for _, s := range d.Services {
		if s.Replicas < 1 || s.Slots < 1 || s.MaxQueue < 0 {
			return invalid("service %q: replicas_per_zone is %d and slots is %d, both must be at least 1; queue is %d, must not be negative", s.Name, s.Replicas, s.Slots, s.MaxQueue)
		}
		if slices.ContainsFunc(s.Slowness, func(x float64) bool { return x <= 0 }) {
			return invalid("service %q: slowness is %v, all factors must be positive", s.Name, s.Slowness)
		}
		if d := s.Slowdown; d != nil && (d.Factor <= 0 || d.Share < 0 || d.Share > 1 || d.Period < 1) {
			return invalid("service %q: a value of its slowdown is out of range: %+v", s.Name, *d)
		}
		if e := s.Engine; e != nil && (e.KVTokens < 1 || e.Step <= 0 || e.StepsPerEvent < 1 || e.PrefillSpeed <= 0 || e.ChunkTokens < 4 ||
			e.PrefillShare < 0 || e.PrefillShare >= 1 || e.TransferTime < 0 || e.FirstEventOverhead < 0 || e.AttentionTime < 0 || e.StageChangeTime < 0 || e.StepPerSlot < 0) {
			return invalid("service %q: a value of its engine is out of range: %+v", s.Name, *e)
		}
	}
	for _, k := range d.Kinds {
		s := d.service(k.Service)
		switch {
		case s == nil:
			return invalid("kind %q: unknown service %q", k.Name, k.Service)
		case k.Rate <= 0 || k.Target <= 0 || k.Deadline < k.Target || k.Credit <= 0 || k.LateCredit < 0 || k.CallerRetries < 0:
			return invalid("kind %q: rate_per_s, target_ms, deadline_ms, worth, late_worth or retries is out of range", k.Name)
		case s.Engine != nil && (k.OwnTokens < 1 || k.Events < 1):
			return invalid("kind %q: own_tokens is %g and events is %g, both must be at least 1", k.Name, k.OwnTokens, k.Events)
		case s.Engine == nil && k.ServiceTime <= 0:
			return invalid("kind %q: work_ms is %g, must be positive", k.Name, k.ServiceTime)
		case slices.ContainsFunc(k.Shared, func(s SharedLevel) bool { return s.Segments < 1 || s.Tokens < 1 }):
			return invalid("kind %q: subjects and tokens must be at least 1 on each shared level", k.Name)
		}
	}
	for _, b := range d.Bursts {
		if !slices.ContainsFunc(d.Kinds, func(k Kind) bool { return k.Name == b.Kind }) || b.At < 0 || b.For <= 0 || b.Factor < 0 {
			return invalid("burst of kind %q: the kind is unknown, or at_s, for_s or factor is out of range", b.Kind)
		}
	}
	for _, f := range d.Faults {
		if d.service(f.Service) == nil || f.At < 0 || f.For <= 0 || f.Share <= 0 || f.Share > 1 ||
			f.Kind != Crash && (f.Kind != Slow || f.Factor < 1) {
			return invalid("fault %q of service %q: the service is unknown, or what, at_s, for_s, share or factor is out of range", f.Kind, f.Service)
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
