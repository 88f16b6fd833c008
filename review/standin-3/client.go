package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// lastID numbers the client attempts.
var lastID atomic.Int64

// newID returns the ID of a client attempt.
func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)<<20|int64(rand.IntN(1<<20))) }

// deadlineOf is the time budget of a client attempt.
const deadline = 3 * time.Second

var client = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 16, IdleConnTimeout: 5 * time.Second}}

// send sends one request of a client to a host. Status zero stands for a connection that failed.
func (w *world) send(h *host, method, path string, key int, body string) (status int, id, text string) {
	id = newID()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.frontAddr()+path, strings.NewReader(body))
	if err != nil {
		return 0, id, err.Error()
	}
	request.Host = domain
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key >= 0 {
		request.Header.Set("X-Shard-Key", strconv.Itoa(key))
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, id, err.Error()
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, id, err.Error()
	}
	return response.StatusCode, id, strings.TrimSpace(string(content))
}

// traffic sends requests for random keys to all hosts until the context ends, and counts the answers by status.
func (w *world) traffic(ctx context.Context, interval time.Duration) map[int]int {
	counts := make(map[int]int)
	results := make(chan int, 1024)
	pending := 0
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case status := <-results:
			counts[status]++
			pending--
		case <-ticker.C:
			h, key := w.hosts[rand.IntN(len(w.hosts))], rand.IntN(keyCount)
			pending++
			go func() {
				method, path := "POST", unsafePrefix+"list"
				if rand.IntN(2) == 0 {
					method, path = "GET", safePrefix+"list"
				}
				status, id, text := w.send(h, method, path, key, "")
				w.record.note("client %s %s%s key %d via %s: %d %.60s", id, method, path, key, h.name, status, text)
				results <- status
			}()
		}
	}
	for ; pending > 0; pending-- {
		counts[<-results]++
	}
	return counts
}
