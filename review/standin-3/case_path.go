package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["odd-path"] = oddPath }

// pathRounds is the number of times that each path is sent, to one host after the other.
const pathRounds = 4

// plainPaths hold only characters that a path may hold as they are, and oddPaths also such as many clients send without an escape: a
// vertical bar, braces, a circumflex, and letters of UTF-8.
var (
	plainPaths = []string{"/podpis/hala-7", "/podpis/hala%2F7", "/podpis/hala%7C7", "/nahled/hala-7?list=1|2"}
	oddPaths   = []string{"/podpis/hala|7", "/podpis/hala%2F7|b", "/podpis/{hala}", "/podpis/hala^7", "/nahled/n\xc3\xa1lez", "/archiv%2Fhala|7"}
)

// oddPath sends requests whose paths hold characters that clients send as they are. A target that runs one must get the path that was sent.
func oddPath(w *world, trouble bool) error {
	var mu sync.Mutex
	sent := make(map[string]string)
	w.onRun = func(l *life, r *http.Request, _ int, _ []byte) {
		id := r.Header.Get("X-Attempt-Id")
		w.countRun(id)
		mu.Lock()
		target, ok := sent[id]
		mu.Unlock()
		if !ok {
			return
		}
		w.record.note("target %s of service %s runs %s %s %s", l.name(), l.target.service, id, r.Method, r.RequestURI)
		if target != r.RequestURI {
			w.record.violation("UNASKED: request %s was sent with %s, and service %s runs it with %s", id, target, l.target.service, r.RequestURI)
		}
	}
	if err := w.startAll(4, 2); err != nil {
		return err
	}
	targets := plainPaths
	if trouble {
		targets = append(targets, oddPaths...)
	}
	for i := range pathRounds {
		for _, target := range targets {
			id := newID()
			mu.Lock()
			sent[id] = target
			mu.Unlock()
			w.sendTarget(w.hosts[i%len(w.hosts)], id, target)
		}
	}
	return nil
}

// sendTarget sends one request whose target is written as it is.
func (w *world) sendTarget(h *host, id, target string) {
	conn, err := net.DialTimeout("tcp", h.frontAddr(), time.Second)
	if err != nil {
		w.record.note("client %s: %v", id, err)
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(deadline))
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Shard-Key: 77\r\n\r\n", target, domain, id, deadline.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodGet})
	if err != nil {
		w.record.note("client %s sends GET %s: %v", id, target, err)
		return
	}
	defer response.Body.Close()
	w.record.note("client %s sends GET %s via %s: %d, signature %q", id, target, h.name, response.StatusCode, response.Header.Get("X-Response-Signature"))
}
