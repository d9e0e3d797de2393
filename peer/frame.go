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
	// MaxFrameBytes is the longest message of a call. A configuration document of 1 MB must fit.
	MaxFrameBytes = 1_310_720
	// readBufferBytes holds nearly every message, so that only large ones need a buffer of their own.
	readBufferBytes = 4096
	maxPrefixBytes  = 10
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

// readFrame reads one length-delimited message. A message that does not fit into the reader's buffer first takes its
// size from the budget: a few bytes that announce large frames on many streams must not exhaust the memory. It returns
// io.EOF when the stream ended before the first byte, else ErrTruncated, ErrTooLarge, ErrCorrupt or the reader's error.
func readFrame(ctx context.Context, r *bufio.Reader, budget *semaphore.Weighted, m proto.Message) error {
	size, err := peekSize(r)
	if err != nil {
		return err
	}
	if size > MaxFrameBytes {
		return errors.Wrapf(ErrTooLarge, "%d bytes announced", size)
	}
	if size > uint64(r.Size()) {
		if err := budget.Acquire(ctx, int64(size)); err != nil {
			return errors.Wrap(err, "peer: no memory for a large frame")
		}
		defer budget.Release(int64(size))
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

// peekSize returns the length prefix without consuming it. It asks for one byte at a time, because a frame may be
// shorter than the longest prefix.
func peekSize(r *bufio.Reader) (uint64, error) {
	for n := 1; n <= maxPrefixBytes; n++ {
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
	return 0, errors.Wrap(ErrCorrupt, "length prefix")
}
