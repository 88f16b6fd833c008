// Package content transfers large values between hosts.
//
// A value is described by its Manifest: its digest, its size and the IDs of the chunks that it consists of. A host tells others that
// it has a value by sending the manifest, which is small. A host that lacks the value fetches the chunks that it does not have yet
// from any host that has them, in messages of bounded size, each with a timeout of its own. So the time that a message may take does
// not depend on the size of the value, a transfer that was interrupted goes on where it ended, and a new version of a value costs
// what has changed in it.
//
// A Store holds the last versions of values, whole or in part; a Fetcher completes them. Packages relay and edge use both for records
// of the platform's log. Failures: a host without a chunk leaves it out of its reply, and the next source is asked. What arrives is
// checked against the ID of its chunk, and the whole value against its digest.
package content

import (
	"crypto/sha256"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies a value: its SHA-256.
type Digest [sha256.Size]byte

// ChunkID identifies a chunk by its 64-bit xxHash.
type ChunkID uint64

// Chunk is a part of a value. Size is in bytes.
type Chunk struct {
	ID   ChunkID
	Size int
}

// Manifest describes a value. Its chunks follow each other without gaps.
type Manifest struct {
	Digest Digest
	// Size is the size of the value in bytes.
	Size   int
	Chunks []Chunk
}

const (
	// chunksPerValue is about the number of chunks of a value, within the bounds of minChunkBytes and maxChunkBytes on the mean size
	// of a chunk.
	chunksPerValue = 128
	minChunkBytes  = 1 << 10
	maxChunkBytes  = 64 << 10
	// spread is the greatest ratio of the size of a chunk to the mean, either way.
	spread = 4
)

// byteHashes holds a random number for each byte, for the rolling hash of boundary.
var byteHashes = newByteHashes()

// newByteHashes returns the outputs of the generator SplitMix64 with seed zero. All hosts must use the same.
func newByteHashes() (table [256]uint64) {
	state := uint64(0)
	for i := range table {
		state += 0x9e3779b97f4a7c15
		z := state
		z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
		z = (z ^ z>>27) * 0x94d049bb133111eb
		table[i] = z ^ z>>31
	}
	return table
}

// meanChunkBytes returns the mean size of the chunks of a value, a power of two. Versions of similar size have the same, since only
// then do they have chunks in common.
func meanChunkBytes(size int) int {
	mean := minChunkBytes
	for mean < maxChunkBytes && mean*2*chunksPerValue <= size {
		mean *= 2
	}
	return mean
}

// describe returns the manifest of a value.
func describe(value []byte) Manifest {
	m := Manifest{Digest: sha256.Sum256(value), Size: len(value)}
	for rest := value; len(rest) > 0; {
		n := boundary(rest, meanChunkBytes(len(value)))
		m.Chunks = append(m.Chunks, Chunk{ID: ChunkID(xxhash.Sum64(rest[:n])), Size: n})
		rest = rest[n:]
	}
	return m
}

// boundary returns the size of the first chunk. Where it ends depends only on the bytes before (content-defined chunking), so that a
// change of a value leaves the chunks after it as they are.
func boundary(value []byte, mean int) int {
	// The highest bits of the hash depend on the most bytes.
	shift := 64 - bits.Len(uint(mean-1))
	limit := min(len(value), mean*spread)
	hash := uint64(0)
	for i := mean / spread; i < limit; i++ {
		hash = hash<<1 + byteHashes[value[i]]
		if hash>>shift == 0 {
			return i + 1
		}
	}
	return limit
}
