package peer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/proto"

	"rhubarbpoint/peer/peerpb"
)

// Guards against frames that crash the decoder, are read beyond their end, or fail with an unspecified error.
func FuzzReadFrame(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(data), readBufferBytes)
		budget := semaphore.NewWeighted(largeFrameBudget)
		var req peerpb.Request
		err := readFrame(context.Background(), r, budget, &req)
		if !budget.TryAcquire(largeFrameBudget) {
			t.Fatal("the memory budget of the frame was not released")
		}
		budget.Release(largeFrameBudget)
		if err != nil {
			specified := errors.Is(err, io.EOF) || errors.Is(err, ErrTruncated) ||
				errors.Is(err, ErrTooLarge) || errors.Is(err, ErrCorrupt)
			if !specified {
				t.Fatalf("unspecified error: %v", err)
			}
			return
		}
		frame, err := encodeFrame(&req)
		if err != nil {
			t.Fatal(err)
		}
		var decoded peerpb.Request
		if err := readFrame(context.Background(), bufio.NewReader(bytes.NewReader(frame)), budget, &decoded); err != nil {
			t.Fatal(err)
		}
		if !proto.Equal(&req, &decoded) {
			t.Fatal("decoding and encoding changed the message")
		}
	})
}
