// Package gzipbytes compresses values that are exchanged between instances or kept in the store.
package gzipbytes

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge means that the decompressed value exceeds the limit.
var ErrTooLarge = errors.New("gzipbytes: decompressed value too large")

// Compress returns the gzip form of a value.
func Compress(value []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(value)
	if err = errors.CombineErrors(err, w.Close()); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "gzipbytes: a write to memory does not fail"))
	}
	return b.Bytes()
}

// Decompress returns the value of which data is the gzip form. It fails with ErrTooLarge if it has more than limit bytes,
// without having decompressed the rest.
func Decompress(data []byte, limit int) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "gzipbytes: decompress")
	}
	value, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "gzipbytes: decompress")
	}
	if len(value) > limit {
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
	}
	return value, nil
}
