package standin

import (
	"sync"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
)

// streamStore keeps the records of all streams in memory.
type streamStore struct {
	mu      sync.Mutex
	streams map[string]*stream
	appends uint64
}

// stream is one sequence of records. The first record kept has offset first.
type stream struct {
	first   logservice.Offset
	records [][]byte
	changed chan struct{}
}

func newStreamStore() *streamStore {
	return &streamStore{streams: make(map[string]*stream)}
}

// get returns the named stream. The store's lock is held.
func (s *streamStore) get(name string) *stream {
	found := s.streams[name]
	if found == nil {
		found = &stream{first: 1, changed: make(chan struct{})}
		s.streams[name] = found
	}
	return found
}

// append adds a record, keeps the last retain ones (all where retain is zero)
// and returns the record's offset and the number of appends so far.
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

// read returns entries from the offset on, and a channel that closes at the next append.
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

// trim keeps the last retain records of every stream.
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

// trim keeps the last retain records, or all where retain is zero.
func (s *stream) trim(retain int) {
	excess := len(s.records) - retain
	if retain <= 0 || excess <= 0 {
		return
	}
	clear(s.records[:excess])
	s.records = s.records[excess:]
	s.first += logservice.Offset(excess)
}
