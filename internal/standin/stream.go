package standin

import (
	"sync"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
)

// streamStore keeps the records of all streams in memory. It is safe for
// concurrent use.
type streamStore struct {
	mu      sync.Mutex
	streams map[string]*stream
	appends uint64
}

// stream is a sequence of records with consecutive offsets. first is the offset of
// the oldest record kept, and changed closes at the next append.
type stream struct {
	first   logservice.Offset
	records [][]byte
	changed chan struct{}
}

func newStreamStore() *streamStore {
	return &streamStore{streams: make(map[string]*stream)}
}

// get returns the named stream, and creates it if it does not exist. s.mu must
// be held.
func (s *streamStore) get(name string) *stream {
	found := s.streams[name]
	if found == nil {
		found = &stream{first: 1, changed: make(chan struct{})}
		s.streams[name] = found
	}
	return found
}

// append adds a record to the named stream and trims the stream to the last retain
// records (zero keeps all). It returns the record's offset and the number of
// appends to all streams so far.
func (s *streamStore) append(name string, data []byte, retain int) (logservice.Offset, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	target := s.get(name)
	offset := target.next()
	target.records = append(target.records, data)
	target.trim(retain)
	close(target.changed)
	target.changed = make(chan struct{})
	s.appends++
	return offset, s.appends
}

// read returns up to limit entries from the offset from on, and a channel that
// closes at the next append. If from has been trimmed (it is below the reply's
// First), the reply has no entries.
func (s *streamStore) read(name string, from logservice.Offset, limit int) (logservice.ReadReply, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	source := s.get(name)
	reply := logservice.ReadReply{Entries: []logservice.Entry{}, First: source.first, Next: source.next()}
	if from < source.first {
		return reply, source.changed
	}
	for offset := from; offset < reply.Next && len(reply.Entries) < limit; offset++ {
		data := source.records[offset-source.first]
		reply.Entries = append(reply.Entries, logservice.Entry{Offset: offset, Data: data})
	}
	return reply, source.changed
}

// trim trims every stream to its last retain records; zero keeps all.
func (s *streamStore) trim(retain int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, target := range s.streams {
		target.trim(retain)
	}
}

// next returns the offset of the next append.
func (s *stream) next() logservice.Offset {
	return s.first + logservice.Offset(len(s.records))
}

// trim removes all but the last retain records; zero keeps all.
func (s *stream) trim(retain int) {
	excess := len(s.records) - retain
	if retain <= 0 || excess <= 0 {
		return
	}
	clear(s.records[:excess])
	s.records = s.records[excess:]
	s.first += logservice.Offset(excess)
}
