package content

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/follow"
)

const (
	// messageBytes is the size of the chunks that are asked for in one message, before compression. After a message without an
	// answer it is halved, down to minMessageBytes.
	messageBytes    = 64 << 10
	minMessageBytes = 4 << 10
	// messageTimeout bounds one message and its answer. A source that lets maxTimeouts of them pass in a row is given up.
	messageTimeout = time.Second
	maxTimeouts    = 2
)

// ErrIncomplete reports that no source has delivered the chunks that are still missing. What has arrived is kept.
var ErrIncomplete = errors.New("content: not all chunks could be fetched")

// Fetcher fetches values from other hosts. It is safe for concurrent use.
type Fetcher struct {
	// Store receives the values.
	Store *Store
	// Ask asks the host with the given address for chunks.
	Ask func(ctx context.Context, addr string, args ChunksArgs) (ChunksReply, error)
}

// Fetch returns the value with the manifest. It asks the sources, addresses of hosts, in turn for the chunks that the Store lacks
// until all are there, no source has any of them, or the context ends. Several calls for one value share their work. The error is
// ErrIncomplete if sources were asked without success.
func (f *Fetcher) Fetch(ctx context.Context, name string, m Manifest, sources []string) ([]byte, error) {
	if err := m.check(); err != nil {
		return nil, err
	}
	v := f.Store.open(name, m)
	select {
	case v.fetching <- struct{}{}:
		defer func() { <-v.fetching }()
	case <-ctx.Done():
		return nil, errors.Mark(ctx.Err(), ErrIncomplete)
	}
	if err := f.complete(ctx, v, sources); err != nil {
		f.Store.Counters.Incomplete.Add(1)
		return nil, err
	}
	if sha256.Sum256(v.value) != m.Digest {
		f.Store.drop(name, v)
		return nil, errors.Newf("content: value %q does not have the digest of its manifest", name)
	}
	return v.value, nil
}

// complete fetches the missing chunks of a version.
func (f *Fetcher) complete(ctx context.Context, v *version, sources []string) error {
	size := messageBytes
	timeouts := 0
	for {
		wanted := f.Store.wanted(v, size)
		if len(wanted) == 0 {
			return nil
		}
		if len(sources) == 0 {
			return errors.Wrapf(ErrIncomplete, "%d of %d chunks are missing", len(v.missing), len(v.manifest.Chunks))
		}
		fetched, err := f.ask(ctx, v, sources[0], wanted)
		switch {
		case ctx.Err() != nil:
			return errors.Mark(ctx.Err(), ErrIncomplete)
		case errors.Is(err, context.DeadlineExceeded):
			f.Store.Counters.Unanswered.Add(1)
			size = max(size/2, minMessageBytes)
			if timeouts++; timeouts >= maxTimeouts {
				sources, timeouts = sources[1:], 0
			}
		case err != nil, fetched == 0:
			sources, timeouts = sources[1:], 0
		default:
			timeouts = 0
		}
	}
}

// ask asks one source for chunks, and returns how many have arrived.
func (f *Fetcher) ask(ctx context.Context, v *version, source string, wanted []Chunk) (int, error) {
	callCtx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	args := ChunksArgs{}
	for _, chunk := range wanted {
		args.IDs = append(args.IDs, chunk.ID)
	}
	reply, err := f.Ask(callCtx, source, args)
	if err != nil {
		return 0, err
	}
	follow.ReportProgress(ctx, len(reply.Compressed))
	f.Store.Counters.BytesFetched.Add(int64(len(reply.Compressed)))
	return f.Store.accept(v, wanted, reply)
}

// maxValueBytes bounds the size of a value that is fetched.
const maxValueBytes = 64 << 20

// check reports whether a manifest that another host has sent is consistent.
func (m Manifest) check() error {
	total := 0
	for _, chunk := range m.Chunks {
		if chunk.Size <= 0 || chunk.Size > maxChunkBytes*spread {
			return errors.Newf("content: a manifest with a chunk of %d bytes", chunk.Size)
		}
		total += chunk.Size
	}
	if total != m.Size || total > maxValueBytes {
		return errors.Newf("content: a manifest of %d bytes with chunks of %d bytes", m.Size, total)
	}
	return nil
}
