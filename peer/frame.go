package peer

import (
	"bufio"
	"bytes"
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

const (
	// MaxFrameBytes is the maximum size of a message. A configuration document of 1 MB must fit.
	MaxFrameBytes = 1_310_720
	// readBufferBytes is the size of pooled read buffers. Nearly every message fits; larger ones use the memory budget.
	readBufferBytes      = 4096
	maxLengthPrefixBytes = 10
)

// encodeFrame returns the length-delimited message in one slice, so that it is written as one yamux frame.
func encodeFrame(m proto.Message) ([]byte, error) {
	if size := proto.Size(m); size > MaxFrameBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", size)
	}
	var b bytes.Buffer
	if _, err := protodelim.MarshalTo(&b, m); err != nil {
		return nil, errors.Mark(err, ErrCorrupt)
	}
	return b.Bytes(), nil
}

// readFrame reads one length-delimited message. If the message does not fit into the reader's buffer, its size is first
// acquired from the memory budget, because peers could exhaust the memory with length prefixes that announce large
// frames on many streams. It returns io.EOF if the stream ends before the first byte, and otherwise ErrTruncated,
// ErrTooLarge, ErrCorrupt, the reader's error, or the context's error if there is no memory in time.
func readFrame(ctx context.Context, r *bufio.Reader, memoryBudget *semaphore.Weighted, m proto.Message) error {
	size, err := peekSize(r)
	if err != nil {
		return err
	}
	if size > MaxFrameBytes {
		return errors.Wrapf(ErrTooLarge, "%d bytes announced", size)
	}
	if size > uint64(r.Size()) {
		if err := memoryBudget.Acquire(ctx, int64(size)); err != nil {
			return errors.Wrapf(err, "peer: no memory for a frame of %d bytes", size)
		}
		defer memoryBudget.Release(int64(size))
	}
	err = protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}.UnmarshalFrom(r, m)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return errors.Mark(err, ErrTruncated)
	case errors.Is(err, proto.Error):
		return errors.Mark(err, ErrCorrupt)
	}
	return err
}

// peekSize returns the length prefix without consuming it. It extends the peek by one byte at a time, because a whole
// frame can be shorter than the longest prefix.
func peekSize(r *bufio.Reader) (uint64, error) {
	for n := 1; n <= maxLengthPrefixBytes; n++ {
		prefix, err := r.Peek(n)
		if err != nil {
			if errors.Is(err, io.EOF) && n > 1 {
				return 0, errors.Mark(err, ErrTruncated)
			}
			return 0, err
		}
		if prefix[n-1] < 0x80 {
			size, m := protowire.ConsumeVarint(prefix)
			if m < 0 {
				return 0, errors.Mark(protowire.ParseError(m), ErrCorrupt)
			}
			return size, nil
		}
	}
	return 0, errors.Wrap(ErrCorrupt, "invalid length prefix")
}
