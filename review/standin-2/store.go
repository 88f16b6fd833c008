package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxRecordBytes is record_bytes of the platform's settings: the largest record that the store takes.
const maxRecordBytes = 262144

// store is a stand-in of the platform's log service: topics of keyed records with one partition, conditional appends, reads that
// wait for a record, and one group. It answers every call.
type store struct {
	addr string

	mu     sync.Mutex
	topics map[string]*topic
	// owner is the member of the group that has the only partition, and joined when each member last joined.
	owner      string
	joined     map[string]time.Time
	generation int
	// onRefused is called with the topic and the size of each record that is refused because it is larger than maxRecordBytes.
	onRefused func(topic string, size int)
	// lateBy returns how much later an append is carried out, whose call gets no answer; zero stands for now. It may be nil.
	lateBy func(topic, key string) time.Duration
}

// topic is a partition. records holds all of its records; none expires within a case.
type topic struct {
	records [][]byte
	changed chan struct{}
}

// view is how one side of a network sees the records: the addresses that it uses, in place of those in the topics.
type view struct {
	// read replaces the addresses in what is read, and write those in what is written.
	read, write *strings.Replacer
}

// newStore starts a store on a free port.
func newStore() *store {
	s := &store{topics: make(map[string]*topic), joined: make(map[string]time.Time)}
	s.addr = newDoor(s.through(view{strings.NewReplacer(), strings.NewReplacer()})).addr
	return s
}

// through returns the store's interface for those who have the view.
func (s *store) through(v view) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", func(w http.ResponseWriter, r *http.Request) { s.append(w, r, v) })
	mux.HandleFunc("GET /log-read", func(w http.ResponseWriter, r *http.Request) { s.read(w, r, v) })
	mux.HandleFunc("GET /log-newest", func(w http.ResponseWriter, r *http.Request) { s.newest(w, r, v) })
	mux.HandleFunc("POST /log-join", s.join)
	return mux
}

// largest returns the size of the largest record of a topic.
func (s *store) largest(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, record := range s.topicOf(name).records {
		most = max(most, len(record))
	}
	return most
}

// topicOf returns a topic, which it creates on first use. The caller holds the lock.
func (s *store) topicOf(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{changed: make(chan struct{})}
	}
	return s.topics[name]
}

// add appends a record and wakes the readers. The caller holds the store's lock.
func (t *topic) add(content []byte) int {
	t.records = append(t.records, content)
	close(t.changed)
	t.changed = make(chan struct{})
	return len(t.records) - 1
}

// write appends a keyed record with a JSON value, as the operator and the targets do. Without a value the key is dropped.
func (s *store) write(name, key string, value any) {
	content := append([]byte{byte(len(key))}, key...)
	if value != nil {
		text, err := json.Marshal(value)
		check(err, "encode a record")
		content = append(content, text...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topicOf(name).add(content)
}

func (s *store) append(w http.ResponseWriter, r *http.Request, v view) {
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		if length > maxRecordBytes {
			if s.onRefused != nil {
				s.onRefused(name, length)
			}
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		if len(body) < 4+length {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, []byte(v.write.Replace(string(body[4:4+length]))))
		body = body[4+length:]
	}
	at := r.URL.Query().Get("at")
	if s.lateBy != nil && len(records) > 0 {
		if late := s.lateBy(name, keyOf(records[0])); late > 0 {
			time.AfterFunc(late, func() { s.carryOut(name, at, records) })
			// The connection returns nothing further.
			<-r.Context().Done()
			return
		}
	}
	if first, end, ok := s.carryOut(name, at, records); ok {
		answerJSON(w, http.StatusOK, map[string]any{"offset": first, "end_offset": end})
	} else {
		answerJSON(w, http.StatusPreconditionFailed, map[string]any{"end_offset": end})
	}
}

// carryOut appends records if the partition ends at the given offset or none is given. It returns the first record's offset and the end.
func (s *store) carryOut(name, at string, records [][]byte) (first, end int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicOf(name)
	first = len(t.records)
	if at != "" && at != strconv.Itoa(first) {
		return 0, first, false
	}
	for _, record := range records {
		t.add(record)
	}
	return first, len(t.records), true
}

// keyOf returns the key of a record.
func keyOf(record []byte) string {
	return string(record[1 : 1+int(record[0])])
}

func (s *store) read(w http.ResponseWriter, r *http.Request, v view) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("start_key"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topicOf(query.Get("topic"))
		records, changed := t.records, t.changed
		s.mu.Unlock()
		if from > len(records) {
			answerJSON(w, http.StatusGone, map[string]any{"first_offset": 0})
			return
		}
		if from < len(records) || wait == 0 {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range records[from:] {
				record := v.read.Replace(string(record))
				body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
				body = append(body, record...)
			}
			w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-end:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request, v view) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicOf(r.URL.Query().Get("topic"))
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	last := make(map[string]item)
	for offset, record := range t.records {
		end := 1 + int(record[0])
		key := string(record[1:end])
		delete(last, key)
		if len(record) > end {
			last[key] = item{key, []byte(v.read.Replace(string(record[end:]))), offset}
		}
	}
	items := make([]item, 0, len(last))
	for _, i := range last {
		items = append(items, i)
	}
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end_offset": len(t.records)})
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Member string   `json:"member"`
		Topics []string `json:"topics"`
		TTL    float64  `json:"ttl_s_time"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil || len(call.Topics) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.joined[call.Member] = now
	if now.Sub(s.joined[s.owner]).Seconds() > call.TTL {
		s.owner = call.Member
		s.generation++
	}
	parts := [][]any{}
	if s.owner == call.Member {
		parts = append(parts, []any{call.Topics[0], 0, 0})
	}
	answerJSON(w, http.StatusOK, map[string]any{"generation": s.generation, "parts": parts})
}

// answerJSON answers a call with a JSON body.
func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}
