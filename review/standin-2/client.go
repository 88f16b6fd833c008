package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// clientDeadline is how long the ordinary clients wait.
const clientDeadline = 2 * time.Second

// answer is what a client got for one request: no status if there was no complete answer.
type answer struct {
	status int
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprint(a.status)
}

// get sends a GET on a connection of its own and reads the answer.
func get(addr, id, path string, key int) answer {
	return send(addr, "GET", path, id, key)
}

// send sends a request without a body on a connection of its own, its path byte by byte as given, and reads the answer.
func send(addr, method, path, id string, key int) answer {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(clientDeadline))
	length := ""
	if method == "POST" {
		length = "Content-Length: 0\r\n"
	}
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Shard-Key: %d\r\n%s\r\n",
		method, path, domain, id, clientDeadline.Milliseconds(), key, length)
	if err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: response.StatusCode, body: string(body)}
}
