package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// crowdConnections is the number of connections that the clients that nobody controls open to one machine.
	crowdConnections = 2100
	// ordinaryClients try from crowdSettles on after the last of these connections was opened, for ordinaryFor.
	ordinaryClients = 8
	crowdSettles    = 3 * time.Second
	ordinaryFor     = 15 * time.Second
	ordinaryPause   = 200 * time.Millisecond
	// contact is contact_s.
	contact = 3 * time.Second
)

// try is one request of an ordinary client, on a new connection.
type try struct {
	client   int
	at       time.Time
	answered bool
}

// crowd opens many connections to one machine. On each, a request arrives whose chunked body stops short of its end and stays open;
// its path has no route. Ordinary clients then send requests to the same machine.
func crowd(w *world) bool {
	w.startDeployment()
	h := w.hosts[0]
	if w.trouble {
		opened := openCrowd(h.front)
		w.record.line("%d connections of the crowd are open, each with a request whose chunked body stops short", opened)
	}
	time.Sleep(crowdSettles)
	var mu sync.Mutex
	var tries []try
	ready := true
	var clients sync.WaitGroup
	end := time.Now().Add(ordinaryFor)
	for client := range ordinaryClients {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("ordinary-%d-%d", client, n)
				at := time.Now()
				a := get(h.front, id, plainPrefix+"x", 0)
				w.record.line("client %d to %s: %s: %v", client, h.name, id, a)
				mu.Lock()
				tries = append(tries, try{client, at, a.status != 0})
				mu.Unlock()
				time.Sleep(ordinaryPause)
			}
		})
	}
	for time.Now().Before(end) {
		isReady := h.isReady()
		w.record.line("readiness of %s: %v, process runs: %v", h.name, isReady, h.alive())
		ready = ready && isReady
		time.Sleep(time.Second)
	}
	clients.Wait()
	answered := 0
	for _, t := range tries {
		if t.answered {
			answered++
		}
	}
	other := get(w.hosts[1].front, "other-host", plainPrefix+"x", 0)
	w.record.line("%d of %d ordinary requests got an answer at %s; always ready: %v; another machine answers: %v", answered, len(tries), h.name, ready, other)
	return ready && unanswered(tries)
}

// unanswered reports whether there is a time of contact_s in which seven clients or more tried, and none got an answer.
func unanswered(tries []try) bool {
	for _, first := range tries {
		clients := make(map[int]bool)
		answers := 0
		for _, t := range tries {
			if t.at.Before(first.at) || t.at.Sub(first.at) > contact {
				continue
			}
			clients[t.client] = true
			if t.answered {
				answers++
			}
		}
		if answers == 0 && len(clients) >= 7 && tries[len(tries)-1].at.Sub(first.at) >= contact {
			return true
		}
	}
	return false
}

// openCrowd opens the connections, which stay open until the process ends, and returns how many there are.
func openCrowd(addr string) int {
	var mu sync.Mutex
	opened := 0
	var openers sync.WaitGroup
	next := make(chan int)
	for range 20 {
		openers.Go(func() {
			for n := range next {
				conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
				if err != nil {
					continue
				}
				fmt.Fprintf(conn, "POST /no-such-route/%d HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: crowd-%d\r\nX-Deadline-Ms: 2000\r\nTransfer-Encoding: chunked\r\n\r\n", n, domain, n)
				fmt.Fprintf(conn, "400\r\n%s\r\n", strings.Repeat("x", 1024))
				go io.Copy(io.Discard, conn)
				mu.Lock()
				opened++
				mu.Unlock()
			}
		})
	}
	for n := range crowdConnections {
		next <- n
	}
	close(next)
	openers.Wait()
	return opened
}
