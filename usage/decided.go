package usage

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/internal/gzipbytes"
	"rhubarbpoint/topo"
)

// ErrUnreadable means that the value of the usage key cannot be decoded.
var ErrUnreadable = errors.New("usage: unreadable value")

// Decided is a window whose report is settled. Its body is sent byte for byte, by whichever instance.
type Decided struct {
	Window int64
	Body   []byte
}

// encodeDecided returns the value of the usage key. It is compressed, because every instance receives the changes of the
// store, and the names of the workspaces repeat in each window.
func encodeDecided(decided []Decided) []byte {
	var value []byte
	for _, d := range decided {
		value = binary.AppendVarint(value, d.Window)
		value = binary.AppendUvarint(value, uint64(len(d.Body)))
		value = append(value, d.Body...)
	}
	return gzipbytes.Compress(value)
}

// decodeDecided returns the windows of a value, in the order in which they were decided.
func decodeDecided(value []byte) ([]Decided, error) {
	data, err := gzipbytes.Decompress(value, topo.MaxValueBytes)
	if err != nil {
		return nil, errors.Mark(err, ErrUnreadable)
	}
	var decided []Decided
	for len(data) > 0 {
		window, n := binary.Varint(data)
		if n <= 0 {
			return nil, ErrUnreadable
		}
		size, m := binary.Uvarint(data[n:])
		if m <= 0 || size > uint64(len(data)-n-m) {
			return nil, ErrUnreadable
		}
		start, end := n+m, n+m+int(size)
		decided = append(decided, Decided{Window: window, Body: data[start:end]})
		data = data[end:]
	}
	return decided, nil
}

// merge adds the windows of others that decided lacks, and returns the latest of all, in order.
func merge(decided, others []Decided, most int) []Decided {
	merged := slices.Clone(decided)
	for _, other := range others {
		if !slices.ContainsFunc(decided, func(d Decided) bool { return d.Window == other.Window }) {
			merged = append(merged, other)
		}
	}
	slices.SortStableFunc(merged, func(a, b Decided) int { return cmp.Compare(a.Window, b.Window) })
	return merged[max(0, len(merged)-most):]
}
