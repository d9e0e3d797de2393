package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"rhubarbpoint/peer/peerpb"
)

const (
	deltaValues = 9
	// atModulus is the span within which the low bits of a report time are unambiguous.
	atModulus = 1 << 16
)

// baseOf is the hash of the fields that a delta leaves out.
func baseOf(l *peerpb.UpstreamLoad) uint32 {
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

// deltaOf returns the short form of a record.
func deltaOf(l *peerpb.UpstreamLoad, base uint32) *peerpb.LoadDelta {
	return &peerpb.LoadDelta{Base: base, Values: []uint32{
		uint32(l.GetSeq()), uint32(l.GetAtUnixMilli() % atModulus), l.GetRunning(), l.GetWaiting(),
		l.GetWaitingTokens(), l.GetArrivalsMilli(), l.GetPrefillTokensPerSecond(), l.GetStepMicros(),
		l.GetKvUsedPermille(),
	}}
}

// applyDelta returns the full record, or nil if the delta is malformed or not newer than the record held.
func applyDelta(held *peerpb.UpstreamLoad, d *peerpb.LoadDelta) *peerpb.UpstreamLoad {
	v := d.GetValues()
	if len(v) != deltaValues || uint64(v[0]) <= held.GetSeq() || v[1] >= atModulus {
		return nil
	}
	l := proto.Clone(held).(*peerpb.UpstreamLoad)
	l.Seq = uint64(v[0])
	forward := (int64(v[1]) - held.GetAtUnixMilli()%atModulus + atModulus) % atModulus
	if forward > atModulus*3/4 {
		forward -= atModulus // the clock of the engine was set back a little
	}
	l.AtUnixMilli = held.GetAtUnixMilli() + forward
	l.Running, l.Waiting, l.WaitingTokens = v[2], v[3], v[4]
	l.ArrivalsMilli, l.PrefillTokensPerSecond, l.StepMicros, l.KvUsedPermille = v[5], v[6], v[7], v[8]
	return l
}
