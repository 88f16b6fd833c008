package content

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// versionsKept is the number of versions of a name that a Store holds. A host that fetches the newest one usually has one of them.
const versionsKept = 3

// Store holds the last versions of named values. It is safe for concurrent use.
type Store struct {
	Counters Counters

	mu sync.Mutex
	// versions holds the versions of each name, the last one that was added or opened at the end.
	versions map[string][]*version
	// chunks holds all chunks that are present, as parts of their values.
	chunks map[ChunkID][]byte
	// compressor compresses replies.
	compressor compressor
}

// version is a value, of which chunks may be missing.
type version struct {
	manifest Manifest
	value    []byte
	// missing holds the indexes of the chunks that are missing, in order, and offsets the offset of each chunk.
	missing []int
	offsets []int
	// fetching is held by the Fetcher that completes the version.
	fetching chan struct{}
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{versions: make(map[string][]*version), chunks: make(map[ChunkID][]byte)}
}

// Add adds a version of a name, and returns its manifest. The value must not be changed afterwards.
func (s *Store) Add(name string, value []byte) Manifest {
	if m, ok := s.known(name, value); ok {
		return m
	}
	m := describe(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	v := newVersion(m)
	v.value = value
	v.missing = nil
	s.keep(name, v)
	return m
}

// known returns the manifest of a value that is present already, if it is the same slice.
func (s *Store) known(name string, value []byte) (Manifest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.versions[name] {
		if len(v.missing) == 0 && len(v.value) == len(value) && len(value) > 0 && &v.value[0] == &value[0] {
			return v.manifest, true
		}
	}
	return Manifest{}, false
}

func newVersion(m Manifest) *version {
	v := &version{manifest: m, fetching: make(chan struct{}, 1)}
	offset := 0
	for i, chunk := range m.Chunks {
		v.missing = append(v.missing, i)
		v.offsets = append(v.offsets, offset)
		offset += chunk.Size
	}
	return v
}

// chunk returns the bytes of a chunk of the version.
func (v *version) chunk(i int) []byte {
	return v.value[v.offsets[i] : v.offsets[i]+v.manifest.Chunks[i].Size]
}

// keep adds a version to those of a name, or replaces the one with the same digest, and removes the oldest ones. The caller holds
// the lock.
func (s *Store) keep(name string, v *version) {
	kept := slices.DeleteFunc(s.versions[name], func(other *version) bool { return other.manifest.Digest == v.manifest.Digest })
	kept = append(kept, v)
	s.versions[name] = slices.Clone(kept[max(0, len(kept)-versionsKept):])
	clear(s.chunks)
	for _, versions := range s.versions {
		for _, version := range versions {
			s.index(version)
		}
	}
}

// index adds the chunks of a version that are present. The caller holds the lock.
func (s *Store) index(v *version) {
	missing := v.missing
	for i, chunk := range v.manifest.Chunks {
		if len(missing) > 0 && missing[0] == i {
			missing = missing[1:]
			continue
		}
		s.chunks[chunk.ID] = v.chunk(i)
	}
}

// open returns the version with the manifest. If there is none, it adds one with the chunks that are present.
func (s *Store) open(name string, m Manifest) *version {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.versions[name] {
		if v.manifest.Digest == m.Digest {
			return v
		}
	}
	v := newVersion(m)
	v.value = make([]byte, m.Size)
	v.missing = slices.DeleteFunc(v.missing, func(i int) bool {
		chunk, ok := s.chunks[m.Chunks[i].ID]
		if !ok || len(chunk) != m.Chunks[i].Size {
			return false
		}
		copy(v.chunk(i), chunk)
		s.Counters.BytesReused.Add(int64(len(chunk)))
		return true
	})
	s.keep(name, v)
	return v
}

// Missing returns the number of chunks of a value that are not present.
func (s *Store) Missing(name string, m Manifest) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.versions[name] {
		if v.manifest.Digest == m.Digest {
			return len(v.missing)
		}
	}
	missing := 0
	for _, chunk := range m.Chunks {
		if _, ok := s.chunks[chunk.ID]; !ok {
			missing++
		}
	}
	return missing
}

// drop removes a version whose value does not have the digest that its manifest names.
func (s *Store) drop(name string, v *version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[name] = slices.DeleteFunc(s.versions[name], func(other *version) bool { return other == v })
}

// wanted returns the first missing chunks of a version, of at most the given size in all but at least one.
func (s *Store) wanted(v *version, bytes int) []Chunk {
	s.mu.Lock()
	defer s.mu.Unlock()
	var wanted []Chunk
	for _, i := range v.missing {
		chunk := v.manifest.Chunks[i]
		if bytes -= chunk.Size; bytes < 0 && len(wanted) > 0 {
			break
		}
		if !slices.Contains(wanted, chunk) {
			wanted = append(wanted, chunk)
		}
	}
	return wanted
}

// fill copies a chunk that has arrived to all its places in a version. It reports whether the bytes are those of the chunk.
func (s *Store) fill(v *version, chunk Chunk, bytes []byte) bool {
	if len(bytes) != chunk.Size || ChunkID(xxhash.Sum64(bytes)) != chunk.ID {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v.missing = slices.DeleteFunc(v.missing, func(i int) bool {
		if v.manifest.Chunks[i] != chunk {
			return false
		}
		copy(v.chunk(i), bytes)
		s.chunks[chunk.ID] = v.chunk(i)
		return true
	})
	return true
}
