package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's log, as PROTOCOL.md describes it.
type store struct {
	addr string

	mu     sync.Mutex
	topics map[string]*topic
	groups map[string]*group
	// refuse returns the status with which a call is turned away, or 0.
	refuse func(r *http.Request) int
}

// topic has one partition. Records begin at offset 0 and are kept for the whole run.
type topic struct {
	records [][]byte
	changed chan struct{}
}

// group is a group of members; the first of them by name that is alive holds partition 0 until it leaves.
type group struct {
	seen       map[string]time.Time
	ttl        map[string]time.Duration
	owner      string
	generation int64
}

func newStore() *store {
	s := &store{topics: make(map[string]*topic), groups: make(map[string]*group)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	mux.HandleFunc("POST /log-join", s.join)
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		refuse := s.refuse
		s.mu.Unlock()
		if refuse != nil {
			if status := refuse(r); status != 0 {
				w.WriteHeader(status)
				return
			}
		}
		mux.ServeHTTP(w, r)
	}))
	return s
}

func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{changed: make(chan struct{})}
	}
	return s.topics[name]
}

func (t *topic) add(record []byte) int {
	t.records = append(t.records, record)
	close(t.changed)
	t.changed = make(chan struct{})
	return len(t.records) - 1
}

// write appends a record with a JSON value, as the operator and the targets do. Nil removes the key.
func (s *store) write(name, key string, value any) {
	record := append([]byte{byte(len(key))}, key...)
	if value != nil {
		text, err := json.Marshal(value)
		check(err)
		record = append(record, text...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(record)
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end_offset": len(t.records)})
		return
	}
	first := len(t.records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		t.add(body[4 : 4+n])
		body = body[4+n:]
	}
	reply(w, http.StatusOK, map[string]any{"offset": first, "end_offset": len(t.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("start_key"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		end, changed := len(t.records), t.changed
		var records [][]byte
		if from < end {
			records = t.records[from:end]
		}
		s.mu.Unlock()
		if from > end {
			reply(w, http.StatusGone, map[string]any{"first_offset": 0})
			return
		}
		if len(records) > 0 || wait == 0 {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range records {
				body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
				body = append(body, record...)
			}
			w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := make(map[string]map[string]any)
	for offset, record := range t.records {
		n := int(record[0])
		key, value := string(record[1:1+n]), record[1+n:]
		delete(items, key)
		if len(value) > 0 {
			items[key] = map[string]any{"key": key, "value": value, "offset": offset}
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	list := make([]map[string]any, 0, len(items))
	for _, key := range slices.Sorted(maps.Keys(items)) {
		list = append(list, items[key])
	}
	reply(w, http.StatusOK, map[string]any{"items": list, "has_more": false, "end_offset": end})
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Group, Member string
		Topics        []string
		TTL           float64 `json:"ttl_s_time"`
		Generation    int64
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[body.Group]
	if g == nil {
		g = &group{seen: make(map[string]time.Time), ttl: make(map[string]time.Duration)}
		s.groups[body.Group] = g
	}
	now := time.Now()
	g.seen[body.Member], g.ttl[body.Member] = now, time.Duration(body.TTL*float64(time.Second))
	if g.owner == "" || now.Sub(g.seen[g.owner]) > g.ttl[g.owner] {
		g.owner = body.Member
		g.generation++
	}
	parts := [][]any{}
	if g.owner == body.Member {
		parts = append(parts, []any{body.Topics[0], 0, 0})
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": parts})
}

func (s *store) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		return g.owner
	}
	return ""
}
