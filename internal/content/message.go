package content

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/bounded"
)

// ChunksArgs asks a host for chunks.
type ChunksArgs struct {
	IDs []ChunkID
}

// ChunksReply holds those of the chunks that the host has.
type ChunksReply struct {
	IDs []ChunkID
	// Compressed holds the bytes of the chunks one after the other, compressed together with DEFLATE.
	Compressed []byte
}

// maxReplies is the number of compressed replies that a compressor keeps.
const maxReplies = 64

// compressor compresses chunks, and keeps the last results, since many hosts ask for the same chunks at the same time. It is safe for
// concurrent use.
type compressor struct {
	mu     sync.Mutex
	writer *flate.Writer
	// replies holds the kept results by the hash of their IDs, and order their keys, oldest first.
	replies map[uint64][]byte
	order   []uint64
}

// compress returns the bytes of the chunks in compressed form.
func (c *compressor) compress(ids []ChunkID, chunks [][]byte) ([]byte, error) {
	key := hashIDs(ids)
	c.mu.Lock()
	defer c.mu.Unlock()
	if kept, ok := c.replies[key]; ok {
		return kept, nil
	}
	compressed, err := c.deflate(chunks)
	if err != nil {
		return nil, err
	}
	if c.replies == nil {
		c.replies = make(map[uint64][]byte)
	}
	if len(c.order) >= maxReplies {
		delete(c.replies, c.order[0])
		c.order = c.order[1:]
	}
	c.replies[key] = compressed
	c.order = append(c.order, key)
	return compressed, nil
}

// deflate compresses chunks. The caller holds the lock.
func (c *compressor) deflate(chunks [][]byte) ([]byte, error) {
	var out bytes.Buffer
	if c.writer == nil {
		writer, err := flate.NewWriter(&out, flate.BestSpeed)
		if err != nil {
			return nil, errors.NewAssertionErrorWithWrappedErrf(err, "content: compression level")
		}
		c.writer = writer
	}
	c.writer.Reset(&out)
	for _, chunk := range chunks {
		if _, err := c.writer.Write(chunk); err != nil {
			return nil, errors.Wrap(err, "content: compress")
		}
	}
	if err := c.writer.Close(); err != nil {
		return nil, errors.Wrap(err, "content: compress")
	}
	return out.Bytes(), nil
}

// hashIDs returns a hash of a sequence of IDs.
func hashIDs(ids []ChunkID) uint64 {
	encoded := make([]byte, 0, 8*len(ids))
	for _, id := range ids {
		encoded = binary.LittleEndian.AppendUint64(encoded, uint64(id))
	}
	return xxhash.Sum64(encoded)
}

// Serve returns those of the chunks that are present, also of versions that are not complete.
func (s *Store) Serve(args ChunksArgs) (ChunksReply, error) {
	var reply ChunksReply
	var chunks [][]byte
	s.mu.Lock()
	for _, id := range args.IDs {
		if chunk, ok := s.chunks[id]; ok {
			reply.IDs = append(reply.IDs, id)
			chunks = append(chunks, chunk)
		}
	}
	s.mu.Unlock()
	if len(chunks) == 0 {
		return reply, nil
	}
	compressed, err := s.compressor.compress(reply.IDs, chunks)
	if err != nil {
		return ChunksReply{}, err
	}
	reply.Compressed = compressed
	s.Counters.BytesServed.Add(int64(len(compressed)))
	return reply, nil
}

// accept fills a version with the chunks of a reply, and returns how many there were. It fails if the reply does not hold what it
// says.
func (s *Store) accept(v *version, wanted []Chunk, reply ChunksReply) (int, error) {
	sizes := make(map[ChunkID]int, len(wanted))
	for _, chunk := range wanted {
		sizes[chunk.ID] = chunk.Size
	}
	total := 0
	for _, id := range reply.IDs {
		total += sizes[id]
	}
	raw, err := bounded.ReadAll(flate.NewReader(bytes.NewReader(reply.Compressed)), int64(total))
	if err != nil {
		return 0, errors.Wrap(err, "content: reply")
	}
	if len(raw) != total {
		return 0, errors.Newf("content: a reply with %d bytes of chunks instead of %d", len(raw), total)
	}
	for _, id := range reply.IDs {
		size := sizes[id]
		if !s.fill(v, Chunk{ID: id, Size: size}, raw[:size]) {
			return 0, errors.Newf("content: the bytes of chunk %x do not match its ID", uint64(id))
		}
		raw = raw[size:]
	}
	return len(reply.IDs), nil
}
