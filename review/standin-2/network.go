package main

import (
	"io"
	"net"
	"net/http"
	"sync"
)

// door is an address at which an HTTP service is reached by one side of a network. It can be cut: then it resets its connections and
// refuses new ones.
type door struct {
	addr    string
	handler http.Handler
	server  *http.Server
}

// newDoor opens a door on a free port.
func newDoor(handler http.Handler) *door {
	d := &door{addr: "127.0.0.1:0", handler: handler}
	d.heal()
	return d
}

func (d *door) cut() { d.server.Close() }

func (d *door) heal() {
	listener, err := net.Listen("tcp", d.addr)
	check(err, "listen")
	d.addr = listener.Addr().String()
	d.server = &http.Server{Handler: d.handler}
	go d.server.Serve(listener)
}

// link is an address at which one side of a network reaches a process of the other side: a proxy. It can be cut as a door can.
type link struct {
	addr, to string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// newLink opens a link to an address on a free port.
func newLink(to string) *link {
	l := &link{addr: "127.0.0.1:0", to: to}
	l.heal()
	return l
}

func (l *link) heal() {
	listener, err := net.Listen("tcp", l.addr)
	check(err, "listen")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addr = listener.Addr().String()
	l.listener, l.conns = listener, make(map[net.Conn]bool)
	go l.accept(listener)
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener.Close()
	for conn := range l.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	l.listener = nil
}

func (l *link) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.to)
		if err != nil {
			near.(*net.TCPConn).SetLinger(0)
			near.Close()
			continue
		}
		l.mu.Lock()
		cut := l.listener != listener
		if !cut {
			l.conns[near], l.conns[far] = true, true
		}
		l.mu.Unlock()
		if cut {
			near.Close()
			far.Close()
			continue
		}
		go l.pass(near, far)
		go l.pass(far, near)
	}
}

// pass copies what arrives on one connection to the other, until one of them ends.
func (l *link) pass(from, to net.Conn) {
	io.Copy(to, from)
	from.Close()
	to.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, from)
	delete(l.conns, to)
}
