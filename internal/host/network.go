package host

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/peer"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 5 * time.Second
	// Largest numbers of connections to one address, by what is there.
	platformConns = 4
	controlConns  = 2
	peerConns     = 64
	serverConns   = 16
)

// dialer returns a function that opens connections, through the HTTP CONNECT proxy at
// egress where that is set.
func dialer(egress string) peer.DialFunc {
	direct := &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}
	if egress == "" {
		return direct.DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := direct.DialContext(ctx, network, egress)
		if err != nil {
			return nil, err
		}
		if err := connectThrough(conn, addr); err != nil {
			conn.Close()
			return nil, err
		}
		return conn, nil
	}
}

// connectThrough asks the proxy at the other end of conn to connect to addr.
func connectThrough(conn net.Conn, addr string) error {
	conn.SetDeadline(time.Now().Add(dialTimeout))
	defer conn.SetDeadline(time.Time{})
	request := "CONNECT " + addr + " HTTP/1.1\r\nHost: " + addr + "\r\n\r\n"
	if _, err := conn.Write([]byte(request)); err != nil {
		return errors.Wrap(err, "egress: ask")
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return errors.Wrap(err, "egress: answer")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("egress: answered %d", resp.StatusCode)
	}
	return nil
}

// newHTTPClient returns a client with its own connections, at most conns to one address.
func newHTTPClient(dial peer.DialFunc, conns int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     conns,
			MaxIdleConnsPerHost: conns,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// NewPlatformClient returns an HTTP client for the platform's services, which connects
// through the HTTP CONNECT proxy at egress where that is set.
func NewPlatformClient(egress string) *http.Client {
	return newHTTPClient(dialer(egress), platformConns)
}
