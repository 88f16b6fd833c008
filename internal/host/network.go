package host

import (
	"net/http"

	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// Maximum number of connections to one address, by the kind of peer.
const (
	platformConns = 4
	controlConns  = 2
	peerConns     = 64
	serverConns   = 16
)

// newHTTPClient returns a client with its own connections, at most conns to one address.
func newHTTPClient(dial transport.DialFunc, conns int) *http.Client {
	return &http.Client{
		Transport:     newPool(dial, conns),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// newPool returns a pool of connections, at most conns to one address.
func newPool(dial transport.DialFunc, conns int) *transport.Pool {
	return transport.NewPool(transport.Options{Dial: dial, Connections: conns})
}

// NewPlatformClient returns an HTTP client for the platform's services, which connects
// through the HTTP CONNECT proxy at egress if that is set.
func NewPlatformClient(egress string) *http.Client {
	return newHTTPClient(transport.Dialer(egress), platformConns)
}
