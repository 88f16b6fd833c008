package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	topicServers = "keyed.servers"
	topicOrders  = "keyed.op"
	// storeDelay is the time that the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// pageItems is the maximum number of items of a page of the newest records.
	pageItems = 500
)

// store is a stand-in for the platform's metadata store: keyed topics with one partition, conditional appends, reads that wait, pages of
// the newest records and one group. It is safe for concurrent use.
type store struct {
	// addrs holds the address of each entrance. Each host has one of its own, so that the store can turn single hosts away.
	addrs   []string
	servers []*http.Server

	mu     sync.Mutex
	topics map[string]*topic
	// joined holds when each member last joined the group. owner has partition 0.
	joined     map[string]time.Time
	owner      string
	generation int64
	// onPage, if set, is called after a page of a topic was collected and before it is answered.
	onPage func(client, topicName string, page int)
	// readers holds when a read of each entrance began last that waits for a record of the hosts' own topics.
	readers map[int]time.Time
	// silent holds the entrances whose calls get no answer, also those that wait.
	silent map[int]bool
}

type topic struct {
	records [][]byte
	changed chan struct{}
}

// newStore starts a store with the given number of entrances.
func newStore(ip string, entrances int) (*store, error) {
	s := &store{topics: make(map[string]*topic), joined: make(map[string]time.Time), silent: make(map[int]bool), readers: make(map[int]time.Time)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.answerAppend)
	mux.HandleFunc("GET /log-read", s.answerRead)
	mux.HandleFunc("GET /log-newest", s.answerNewest)
	mux.HandleFunc("POST /log-join", s.answerJoin)
	for i := range entrances {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Store-Era", "0")
			time.Sleep(storeDelay)
			mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), entranceKey{}, i)))
		})}
		s.addrs = append(s.addrs, listener.Addr().String())
		s.servers = append(s.servers, server)
		go server.Serve(listener)
	}
	return s, nil
}

// entranceKey is the key of the number of the entrance in the context of a call.
type entranceKey struct{}

// awaitVoice returns once the entrance of a call is not silent, or false if the caller has gone.
func (s *store) awaitVoice(r *http.Request) bool {
	entrance, _ := r.Context().Value(entranceKey{}).(int)
	s.mu.Lock()
	silent := s.silent[entrance]
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
	}
	return !silent
}

// lastReader returns the one of the entrances that began a read last.
func (s *store) lastReader(entrances []int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.MaxFunc(entrances, func(a, b int) int { return s.readers[a].Compare(s.readers[b]) })
}

// leader returns the number of the host that leads.
func (s *store) leader(w *world) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.IndexFunc(w.hosts, func(h *host) bool { return h.name == s.owner })
}

// setSilent makes an entrance silent, or not.
func (s *store) setSilent(entrance int, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[entrance] = silent
}

// topic returns a topic, which it creates if necessary. The caller holds the lock.
func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{changed: make(chan struct{})}
	}
	return s.topics[name]
}

// append adds a record. The caller holds the lock.
func (t *topic) append(content []byte) int {
	t.records = append(t.records, content)
	close(t.changed)
	t.changed = make(chan struct{})
	return len(t.records) - 1
}

// write appends the record of a key, as operators and servers do. Nil removes the key.
func (s *store) write(name, key string, value any) {
	var text []byte
	if value != nil {
		text, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).append(append(append([]byte{byte(len(key))}, key...), text...))
}

func (s *store) answerAppend(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if !s.awaitVoice(r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 4 || int(binary.BigEndian.Uint32(body)) != len(body)-4 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name := query.Get("topic"); name == topicServers || name == topicOrders {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("topic"))
	if at := query.Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		w.WriteHeader(http.StatusPreconditionFailed)
		json.NewEncoder(w).Encode(map[string]int{"end_offset": len(t.records)})
		return
	}
	offset := t.append(body[4:])
	json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end_offset": offset + 1})
}

func (s *store) answerRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("start_key"))
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	if entrance, ok := r.Context().Value(entranceKey{}).(int); ok && waitMS > 0 && !strings.HasPrefix(query.Get("topic"), topicOrders) {
		s.mu.Lock()
		s.readers[entrance] = time.Now()
		s.mu.Unlock()
	}
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for waiting := waitMS > 0; ; {
		if !s.awaitVoice(r) {
			return
		}
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		end, changed := len(t.records), t.changed
		var records [][]byte
		if from <= end {
			records = t.records[from:]
		}
		s.mu.Unlock()
		if from > end {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(records) > 0 || !waiting {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, content := range records {
				body = binary.BigEndian.AppendUint32(body, uint32(len(content)))
				body = append(body, content...)
			}
			w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// item is one of the newest records.
type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

// newest returns the newest record of each key after the given one. The caller holds the lock.
func (t *topic) newest(after string) []item {
	byKey := make(map[string]item)
	for offset, content := range t.records {
		key, value := string(content[1:1+content[0]]), content[1+content[0]:]
		delete(byKey, key)
		if len(value) > 0 && key > after {
			byKey[key] = item{key, value, offset}
		}
	}
	items := make([]item, 0, len(byKey))
	for _, i := range byKey {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	return items
}

func (s *store) answerNewest(w http.ResponseWriter, r *http.Request) {
	if !s.awaitVoice(r) {
		return
	}
	query := r.URL.Query()
	s.mu.Lock()
	t := s.topic(query.Get("topic"))
	items := t.newest(query.Get("after"))
	more := len(items) > pageItems
	items = items[:min(len(items), pageItems)]
	end, onPage := len(t.records), s.onPage
	s.mu.Unlock()
	if onPage != nil {
		page := 0
		if query.Get("after") != "" {
			page = 1
		}
		onPage(r.RemoteAddr, query.Get("topic"), page)
	}
	json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": more, "end_offset": end})
}

func (s *store) answerJoin(w http.ResponseWriter, r *http.Request) {
	if !s.awaitVoice(r) {
		return
	}
	var body struct {
		Member string  `json:"member"`
		TTL    float64 `json:"ttl_s_time"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.joined[body.Member] = now
	if now.Sub(s.joined[s.owner]).Seconds() > body.TTL {
		s.owner = body.Member
		s.generation++
	}
	parts := [][]any{}
	if s.owner == body.Member {
		parts = append(parts, []any{"poplarcroft-lead", 0, 0})
	}
	json.NewEncoder(w).Encode(map[string]any{"generation": s.generation, "ttl_s_time": body.TTL, "parts": parts})
}
