package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/check"
)

// serverTest is a backend server under test.
type serverTest struct {
	t      *testing.T
	server *Server
	url    string
	record string
}

func startServer(t *testing.T, cfg ServerConfig) *serverTest {
	cfg.Listen = "127.0.0.1:0"
	cfg.RecordFile = filepath.Join(t.TempDir(), "record")
	s := NewServer(cfg)
	return &serverTest{t: t, server: s, url: "http://" + start(t, s), record: cfg.RecordFile}
}

func (s *serverTest) grant(req backend.GrantRequest) backend.GrantReply {
	s.t.Helper()
	body, err := json.Marshal(req)
	assert.NilError(s.t, err)
	resp, err := http.Post(s.url+backend.PathGrant, "application/json", bytes.NewReader(body))
	assert.NilError(s.t, err)
	defer resp.Body.Close()
	var reply backend.GrantReply
	assert.NilError(s.t, json.NewDecoder(resp.Body).Decode(&reply))
	return reply
}

// grantSlice grants the server a slice under a session, with a lease that outlasts the
// test.
func (s *serverTest) grantSlice(session uint64, slice int, epoch uint64) backend.GrantReply {
	s.t.Helper()
	return s.grant(backend.GrantRequest{
		Session:      session,
		ValidUntilMS: time.Hour.Milliseconds(),
		Add:          []backend.SliceGrant{{Slice: slice, Epoch: epoch}},
	})
}

// post sends a write for the slice and returns the response's status, or zero
// if the response was lost or truncated.
func (s *serverTest) post(session uint64, slice int, epoch uint64) int {
	req, err := http.NewRequest(http.MethodPost, s.url+"/sign", bytes.NewReader([]byte("body")))
	assert.NilError(s.t, err)
	req.Header.Set(backend.HeaderKey, "k")
	req.Header.Set(backend.HeaderRequestID, "id")
	req.Header.Set(backend.HeaderSlice, strconv.Itoa(slice))
	req.Header.Set(backend.HeaderEpoch, strconv.FormatUint(epoch, 10))
	req.Header.Set(backend.HeaderSession, strconv.FormatUint(session, 10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func (s *serverTest) executions() []check.Execution {
	file, err := os.Open(s.record)
	assert.NilError(s.t, err)
	defer file.Close()
	var list []check.Execution
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		var e check.Execution
		assert.NilError(s.t, json.Unmarshal(scanner.Bytes(), &e))
		list = append(list, e)
	}
	return list
}

// TestServerExecutesOnlyUnderItsLease checks that a server executes a request only
// if the request's session, slice and epoch are those of its current lease.
func TestServerExecutesOnlyUnderItsLease(t *testing.T) {
	past := func(s *serverTest) { s.grant(backend.GrantRequest{Session: 7, ValidUntilMS: 1}) }
	own := func(s *serverTest) { s.grantSlice(7, 3, 9) }
	drop := func(s *serverTest) {
		s.grant(backend.GrantRequest{Session: 7, Drop: []backend.SliceGrant{{Slice: 3, Epoch: 9}}})
	}
	end := func(s *serverTest) { s.grant(backend.GrantRequest{Session: 7, End: true}) }
	newer := func(s *serverTest) { s.grant(backend.GrantRequest{Session: 8, ValidUntilMS: time.Hour.Milliseconds()}) }
	type steps []func(*serverTest)
	for name, test := range map[string]struct {
		steps  steps
		epoch  uint64
		status int
	}{
		"owner":              {steps{own}, 9, 200},
		"no grant":           {nil, 9, 421},
		"other epoch":        {steps{own}, 8, 421},
		"lease expired":      {steps{past}, 9, 421},
		"dropped":            {steps{own, drop}, 9, 421},
		"added after a drop": {steps{own, drop, own}, 9, 421},
		"ended":              {steps{own, end}, 9, 421},
		"renewed after end":  {steps{own, end, own}, 9, 421},
		"session replaced":   {steps{own, newer}, 9, 421},
		"late old grant":     {steps{own, newer, own}, 9, 421},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, ServerConfig{CheckEpochs: true})
			for _, step := range test.steps {
				step(s)
			}
			assert.Equal(t, s.post(7, 3, test.epoch), test.status)
			want := 0
			if test.status == http.StatusOK {
				want = 1
			}
			assert.Equal(t, len(s.executions()), want)
		})
	}
}

// TestServerDropWaitsForRunningRequests checks that a grant that drops a slice is
// answered only after the executing request of that slice has ended with effect.
func TestServerDropWaitsForRunningRequests(t *testing.T) {
	s := startServer(t, ServerConfig{CheckEpochs: true, Work: 300 * time.Millisecond})
	s.grantSlice(7, 3, 9)
	status := make(chan int, 1)
	go func() { status <- s.post(7, 3, 9) }()
	for s.grant(backend.GrantRequest{Session: 7}).InFlight == 0 {
		time.Sleep(time.Millisecond)
	}
	reply := s.grant(backend.GrantRequest{Session: 7, Drop: []backend.SliceGrant{{Slice: 3, Epoch: 9}}})
	assert.Equal(t, reply.InFlight, 0)
	assert.Equal(t, <-status, http.StatusOK)
}

// TestServerAbortsExecutionWhenLeaseExpires checks that a request whose lease
// expires during its execution takes no effect.
func TestServerAbortsExecutionWhenLeaseExpires(t *testing.T) {
	s := startServer(t, ServerConfig{CheckEpochs: true, Work: time.Minute})
	clock := s.grant(backend.GrantRequest{Session: 7}).ClockMS
	s.grant(backend.GrantRequest{
		Session: 7, ValidUntilMS: clock + 200, Add: []backend.SliceGrant{{Slice: 3, Epoch: 9}},
	})
	assert.Equal(t, s.post(7, 3, 9), http.StatusMisdirectedRequest)
	assert.Equal(t, s.executions()[0].Aborted, true)
}

func TestServerGrantForAnotherIncarnationDoesNotApply(t *testing.T) {
	s := startServer(t, ServerConfig{CheckEpochs: true})
	assert.Equal(t, s.grant(backend.GrantRequest{Session: 7, Incarnation: "other"}).Applied, false)
	assert.Equal(t, s.grantSlice(7, 3, 9).Applied, true)
	assert.Equal(t, s.grantSlice(6, 3, 10).Applied, false)
}

func TestServerWithoutEpochCheckExecutesUngrantedRequest(t *testing.T) {
	s := startServer(t, ServerConfig{})
	assert.Equal(t, s.post(7, 3, 9), http.StatusOK)
}

// TestServerLosesOrTruncatesResponseAfterExecution checks that the faults DropEvery
// and HalfEvery spoil only the response: the request itself takes effect.
func TestServerLosesOrTruncatesResponseAfterExecution(t *testing.T) {
	for name, faults := range map[string]ServerFaults{
		"drop": {DropEvery: 1},
		"half": {HalfEvery: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, ServerConfig{Faults: faults})
			assert.Equal(t, s.post(7, 3, 9), 0)
			assert.Equal(t, s.executions()[0].Aborted, false)
		})
	}
}

func TestServerShedsLoadAboveSlotsAndQueue(t *testing.T) {
	s := startServer(t, ServerConfig{Slots: 1, Queue: 1, Work: 300 * time.Millisecond})
	statuses := make(chan int, 3)
	for range 3 {
		go func() { statuses <- s.post(7, 3, 9) }()
	}
	sum := <-statuses + <-statuses + <-statuses
	assert.Equal(t, sum, http.StatusOK*2+http.StatusServiceUnavailable)
}

// TestServerCallsPoison checks that a poison request is recorded as crashed and
// calls the poison function.
func TestServerCallsPoison(t *testing.T) {
	poisoned := make(chan struct{}, 1)
	s := startServer(t, ServerConfig{Poison: func() { poisoned <- struct{}{} }})
	req, err := http.NewRequest(http.MethodPost, s.url+"/", nil)
	assert.NilError(t, err)
	req.Header.Set(HeaderPoison, "1")
	_, err = http.DefaultClient.Do(req)
	assert.NilError(t, err)
	<-poisoned
	assert.Equal(t, s.executions()[0].Crashed, true)
}

// TestEgressCutsStallsAndHeals checks that a stalled connection resumes, that a
// silenced one stays silent while new ones work, and that a cut destination is
// rejected.
func TestEgressCutsStallsAndHeals(t *testing.T) {
	s := startServer(t, ServerConfig{})
	target := s.url[len("http://"):]
	e := NewEgress(EgressConfig{Listen: "127.0.0.1:0"})
	proxy := &url.URL{Scheme: "http", Host: start(t, e)}
	dial := func() (net.Conn, int) {
		conn, err := net.Dial("tcp", proxy.Host)
		assert.NilError(t, err)
		t.Cleanup(func() { conn.Close() })
		assert.NilError(t, conn.SetDeadline(time.Now().Add(300*time.Millisecond)))
		_, err = conn.Write([]byte("CONNECT " + target + " HTTP/1.1\r\nHost: " + target + "\r\n\r\n"))
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return conn, 0
		}
		return conn, resp.StatusCode
	}
	exchange := func(conn net.Conn) bool {
		assert.NilError(t, conn.SetDeadline(time.Now().Add(300*time.Millisecond)))
		_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		if err != nil {
			return false
		}
		_, err = conn.Read(make([]byte, 1))
		return err == nil
	}
	conn, status := dial()
	assert.Equal(t, status, http.StatusOK)
	e.SetRules(EgressRules{Stall: []string{target}})
	assert.Equal(t, exchange(conn), false)
	_, status = dial()
	assert.Equal(t, status, 0)
	e.SetRules(EgressRules{})
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err := conn.Read(make([]byte, 1))
	assert.NilError(t, err, "a stalled connection resumes once it is no longer stalled")
	silent, _ := dial()
	e.Silence([]string{target})
	assert.Equal(t, exchange(silent), false)
	_, status = dial()
	assert.Equal(t, status, http.StatusOK)
	e.SetRules(EgressRules{Cut: []string{target}})
	_, status = dial()
	assert.Equal(t, status, http.StatusBadGateway)
}
