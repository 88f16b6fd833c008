package inbound

import (
	"net"
	"net/http"
)

// listener accepts connections with a Guard.
type listener struct {
	*net.TCPListener
	guard *Guard
}

// Listener returns a listener whose connections the Guard accepts. Another listener than one for TCP is returned as it is.
func (g *Guard) Listener(l net.Listener) net.Listener {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return l
	}
	return listener{tcp, g}
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.guard.Accept(l.TCPListener)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// maxParsedHead is the size of a head from which on the HTTP library ends the connection, whatever Limits say.
const maxParsedHead = 1 << 20

// Server returns an HTTP server for connections that the Guard has accepted.
func (g *Guard) Server(handler http.Handler) *http.Server {
	return &http.Server{Handler: g.Handler(handler), ConnContext: g.ConnContext, ConnState: g.ConnState, MaxHeaderBytes: maxParsedHead}
}
