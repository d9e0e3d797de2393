package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"rhubarbpoint/peer/peerpb"
)

const (
	deltaValueCount = 9
	// reportTimeModulus is the time in milliseconds after which the low bits of a report time, which a delta carries,
	// repeat.
	reportTimeModulus = 1 << 16
)

// baseHash returns the hash of the fields that a delta omits.
func baseHash(l *peerpb.UpstreamLoad) uint32 {
	data := make([]byte, 0, 128)
	data = append(data, l.GetUpstream()...)
	data = append(data, 0)
	data = append(data, l.GetReporter()...)
	data = append(data, 0)
	data = binary.AppendUvarint(data, l.GetEpochHash())
	data = binary.AppendUvarint(data, uint64(l.GetRole()))
	data = binary.AppendUvarint(data, uint64(l.GetMaxRunning()))
	for _, m := range l.GetModels() {
		data = binary.AppendUvarint(data, uint64(m))
	}
	if l.GetDraining() {
		data = append(data, 1)
	}
	return uint32(xxhash.Sum64(data))
}

// newDelta returns a delta with the changing fields of a load record; base is the hash of the other fields.
func newDelta(l *peerpb.UpstreamLoad, base uint32) *peerpb.LoadDelta {
	return &peerpb.LoadDelta{Base: base, Values: []uint32{
		uint32(l.GetSeq()), uint32(l.GetAtUnixMilli() % reportTimeModulus), l.GetRunning(), l.GetWaiting(),
		l.GetWaitingTokens(), l.GetArrivalsMilli(), l.GetPrefillTokensPerSecond(), l.GetStepMicros(),
		l.GetKvUsedPermille(),
	}}
}

// applyDelta returns the full record, or nil if the delta is malformed or not newer than the stored record.
func applyDelta(stored *peerpb.UpstreamLoad, d *peerpb.LoadDelta) *peerpb.UpstreamLoad {
	v := d.GetValues()
	if len(v) != deltaValueCount || uint64(v[0]) <= stored.GetSeq() || v[1] >= reportTimeModulus {
		return nil
	}
	l := proto.Clone(stored).(*peerpb.UpstreamLoad)
	l.Seq = uint64(v[0])
	advance := (int64(v[1]) - stored.GetAtUnixMilli()%reportTimeModulus + reportTimeModulus) % reportTimeModulus
	if advance > reportTimeModulus*3/4 {
		advance -= reportTimeModulus // the engine's clock was set back by up to a quarter of the modulus
	}
	l.AtUnixMilli = stored.GetAtUnixMilli() + advance
	l.Running, l.Waiting, l.WaitingTokens = v[2], v[3], v[4]
	l.ArrivalsMilli, l.PrefillTokensPerSecond, l.StepMicros, l.KvUsedPermille = v[5], v[6], v[7], v[8]
	return l
}
