package relay

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/bounded"
)

const (
	// minCompressedBytes and maxCompressedBytes are the sizes of the values that a relay compresses: plans and evidence. A
	// larger value is a configuration, of which package content transfers only what has changed.
	minCompressedBytes = 4 << 10
	maxCompressedBytes = 256 << 10
)

// deflaters and inflaters keep compressors, which are large.
var (
	deflaters = sync.Pool{New: func() any {
		w, err := flate.NewWriter(nil, flate.BestSpeed)
		if err != nil {
			panic(errors.NewAssertionErrorWithWrappedErrf(err, "relay: compressor"))
		}
		return w
	}}
	inflaters = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// deflate returns the compressed value (RFC 1951), or nil if that is not worth sending in its place.
func deflate(value []byte) []byte {
	if len(value) < minCompressedBytes || len(value) > maxCompressedBytes {
		return nil
	}
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	if _, err := w.Write(value); err != nil {
		return nil
	}
	if err := w.Close(); err != nil || out.Len() > len(value)/2 || out.Len() > MaxInlineBytes {
		return nil
	}
	return out.Bytes()
}

// inflate returns the value that was compressed.
func inflate(compressed []byte) ([]byte, error) {
	r := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(compressed), nil); err != nil {
		return nil, errors.Wrap(err, "relay: compressed value")
	}
	value, err := bounded.ReadAll(r, maxCompressedBytes)
	return value, errors.Wrap(err, "relay: compressed value")
}

// inflate replaces the compressed values of a reply.
func (r *Reply) inflate() error {
	for _, index := range r.Compressed {
		if index < 0 || index >= len(r.Records) {
			return errors.Newf("relay: compressed record %d of %d", index, len(r.Records))
		}
		value, err := inflate(r.Records[index].Value)
		if err != nil {
			return err
		}
		r.Records[index].Value = value
	}
	r.Compressed = nil
	return nil
}
