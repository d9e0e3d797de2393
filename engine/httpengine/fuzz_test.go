package httpengine

import (
	"bytes"
	"io"
	"testing"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/engine"
)

// Guards against streams that crash the decoder, yield invalid frames, or end with an undocumented error.
func FuzzFrames(f *testing.F) {
	for _, stream := range []string{
		`{"request_id":"r","attempt":"1","version":"v","index":0,"token":"a"}` + "\n" + `{"end":true,"total":1}` + "\n",
		`{"request_id":"r","keepalive":true,"epoch":"e"}` + "\n", `{"index":-1,"token":"a"}` + "\n",
		`{"end":true,"token":"a"}` + "\n", `{"request_id":17}` + "\n", `{"index":0,"tok`, "\n\n", `null` + "\n",
	} {
		f.Add([]byte(stream))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := newFrameStream(io.NopCloser(bytes.NewReader(data)), func() {})
		lines := bytes.Count(data, []byte("\n"))
		for n := 0; ; n++ {
			frame, err := s.Recv()
			switch {
			case errors.Is(err, io.EOF):
				if len(data) > 0 && data[len(data)-1] != '\n' {
					t.Fatal("a truncated frame was taken for the end of the stream")
				}
				return
			case errors.Is(err, engine.ErrCorrupt), errors.Is(err, engine.ErrConnectionBroken):
				return
			case err != nil:
				t.Fatalf("unexpected error %v", err)
			case n >= lines:
				t.Fatal("more frames than lines")
			case frame.Index < 0 || frame.Total < 0 || (frame.End && frame.Token != ""):
				t.Fatalf("invalid frame %+v", frame)
			}
		}
	})
}
