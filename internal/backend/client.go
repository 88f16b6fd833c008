package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/bounded"
)

// maxControlReplyBytes bounds the body of a control answer of a backend server.
const maxControlReplyBytes = 4 << 20

// ErrBadReply reports a control answer that violates the protocol: another status than
// 200, no JSON, or a grant without incarnation or clock.
var ErrBadReply = errors.New("backend: malformed control answer")

// Client makes control calls to backend servers. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client that uses the given HTTP client. Deadlines come from contexts.
func NewClient(client *http.Client) *Client {
	return &Client{http: client}
}

// Grant sends a grant to the server at addr. An error leaves open whether the
// grant took effect; it may be sent again.
func (c *Client) Grant(ctx context.Context, addr string, grant GrantRequest) (GrantReply, error) {
	var reply GrantReply
	if err := c.post(ctx, addr, PathGrant, grant, &reply); err != nil {
		return GrantReply{}, err
	}
	if reply.Incarnation == "" || reply.ClockMS < 0 {
		return GrantReply{}, errors.Wrap(ErrBadReply, "reply to a grant without incarnation or clock")
	}
	return reply, nil
}

// Load returns the server's latest load report.
func (c *Client) Load(ctx context.Context, addr string) (LoadReport, error) {
	var report LoadReport
	err := c.call(ctx, http.MethodGet, addr, PathLoad, nil, &report)
	return report, err
}

// post makes a call with the body as JSON.
func (c *Client) post(ctx context.Context, addr, path string, body, reply any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "backend: encode")
	}
	return c.call(ctx, http.MethodPost, addr, path, data, reply)
}

// call makes a call and decodes its JSON answer into reply.
func (c *Client) call(ctx context.Context, method, addr, path string, body []byte, reply any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "backend: build request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "backend: call")
	}
	defer resp.Body.Close()
	data, err := bounded.ReadAll(resp.Body, maxControlReplyBytes)
	if err != nil {
		return errors.Wrap(err, "backend: read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrBadReply, "status %d", resp.StatusCode)
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return errors.Mark(errors.Wrap(err, "backend: decode answer"), ErrBadReply)
	}
	return nil
}
