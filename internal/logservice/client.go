package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/bounded"
)

// maxReplyBytes is the largest size of a reply that is read. A longer one is cut off
// and fails to decode.
const maxReplyBytes = 64 << 20

// Client is a client of the platform's HTTP protocols. It implements Log and Hosts and
// is safe for concurrent use.
type Client struct {
	logURL   string
	hostsURL string
	http     *http.Client
}

// NewClient returns a client of the log and the host list at the given base URLs. The
// HTTP client determines how connections are made; deadlines come from the contexts.
func NewClient(logURL, hostsURL string, client *http.Client) *Client {
	return &Client{logURL: logURL, hostsURL: hostsURL, http: client}
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, data []byte) (Offset, error) {
	var reply AppendReply
	status, err := c.call(ctx, http.MethodPost, c.recordsURL(), data, &reply)
	if err != nil {
		return 0, errors.Mark(err, ErrUnavailable)
	}
	if status != http.StatusCreated {
		return 0, errors.Mark(errors.Newf("log: append returned status %d, expected 201", status), ErrUnavailable)
	}
	return reply.Offset, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, from Offset, max int, wait time.Duration) (ReadReply, error) {
	query := url.Values{}
	query.Set("from", fmt.Sprint(uint64(from)))
	query.Set("max", fmt.Sprint(max))
	query.Set("wait_ms", fmt.Sprint(wait.Milliseconds()))
	var reply ReadReply
	status, err := c.call(ctx, http.MethodGet, c.recordsURL()+"?"+query.Encode(), nil, &reply)
	switch {
	case err != nil:
		return ReadReply{}, errors.Mark(err, ErrUnavailable)
	case status == http.StatusGone:
		return reply, ErrTrimmed
	case status != http.StatusOK:
		return ReadReply{}, errors.Mark(errors.Newf("log: read returned status %d, expected 200", status), ErrUnavailable)
	}
	return reply, nil
}

// List implements Hosts.
func (c *Client) List(ctx context.Context) (HostList, error) {
	var list HostList
	status, err := c.call(ctx, http.MethodGet, c.hostsURL+"/v1/hosts", nil, &list)
	if err != nil {
		return HostList{}, err
	}
	if status != http.StatusOK {
		return HostList{}, errors.Newf("host list: list returned status %d, expected 200", status)
	}
	return list, nil
}

// Announce implements Hosts.
func (c *Client) Announce(ctx context.Context, entry HostEntry) error {
	body, err := json.Marshal(entry)
	if err != nil {
		return errors.Wrap(err, "host list: encode entry")
	}
	return c.expectNoContent(ctx, http.MethodPut, entry.Name, body)
}

// Withdraw implements Hosts.
func (c *Client) Withdraw(ctx context.Context, name string) error {
	return c.expectNoContent(ctx, http.MethodDelete, name, nil)
}

// expectNoContent sends a request for one host's entry, which must be answered with
// 204.
func (c *Client) expectNoContent(ctx context.Context, method, name string, body []byte) error {
	status, err := c.call(ctx, method, c.hostsURL+"/v1/hosts/"+url.PathEscape(name), body, nil)
	if err != nil {
		return err
	}
	if status != http.StatusNoContent {
		return errors.Newf("host list: update returned status %d, expected 204", status)
	}
	return nil
}

func (c *Client) recordsURL() string {
	return c.logURL + "/v1/streams/" + Stream + "/records"
}

// call sends one request and returns the status of the reply. It decodes the reply's
// JSON body into out, unless out is nil, the body is empty or the status is 5xx.
func (c *Client) call(ctx context.Context, method, target string, body []byte, out any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "logservice: build request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "logservice: send request")
	}
	defer resp.Body.Close()
	data, err := bounded.ReadAll(resp.Body, maxReplyBytes)
	if err != nil {
		return 0, errors.Wrap(err, "logservice: read reply")
	}
	if out == nil || len(data) == 0 || resp.StatusCode >= http.StatusInternalServerError {
		return resp.StatusCode, nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return 0, errors.Wrap(err, "logservice: decode reply")
	}
	return resp.StatusCode, nil
}
