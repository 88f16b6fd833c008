package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/bounded"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/publish"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// maxReplyBytes is the largest size of a reply that is read. A longer one is cut off
// and fails to decode.
const maxReplyBytes = 64 << 20

// Client is a client of the administration API of one host.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// StatusError is the error for an answer whose HTTP status is not 2xx. Message is the
// error message in its body.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return "admin: " + strconv.Itoa(e.Status) + " " + http.StatusText(e.Status) + ": " + e.Message
}

// NewClient returns a client of the host at an address, which may be a URL or
// an IP address and port for plain HTTP. The token may be empty.
func NewClient(address, token string, client *http.Client) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{base: strings.TrimRight(address, "/"), token: token, http: client}
}

// Settings returns the settings tree in force.
func (c *Client) Settings(ctx context.Context) (SettingsReply, error) {
	return get[SettingsReply](ctx, c, "/settings")
}

// Effective returns the values in force at a node.
func (c *Client) Effective(ctx context.Context, path string) (EffectiveReply, error) {
	return get[EffectiveReply](ctx, c, "/settings/effective?path="+url.QueryEscape(path))
}

// Diff returns the differences from the settings in force to those in a file's text.
func (c *Client) Diff(ctx context.Context, text []byte) (DiffReply, error) {
	var reply DiffReply
	err := c.call(ctx, http.MethodPost, "/settings/diff", text, &reply)
	return reply, err
}

// History returns the operator records that the log still holds.
func (c *Client) History(ctx context.Context) (HistoryReply, error) {
	return get[HistoryReply](ctx, c, "/settings/history")
}

// Status returns which log offset each host has applied, and whether the latest
// settings are in force on all of them.
func (c *Client) Status(ctx context.Context) (StatusReply, error) {
	return get[StatusReply](ctx, c, "/settings/status")
}

// Marks returns the marks in force.
func (c *Client) Marks(ctx context.Context) (MarksReply, error) {
	return get[MarksReply](ctx, c, "/marks")
}

// Owner returns the owner of a key.
func (c *Client) Owner(ctx context.Context, service, key string) (Owner, error) {
	return get[Owner](ctx, c, "/owners/"+url.PathEscape(service)+"/"+url.PathEscape(key))
}

// Sessions returns the open sessions.
func (c *Client) Sessions(ctx context.Context) (SessionsReply, error) {
	return get[SessionsReply](ctx, c, "/sessions")
}

// Load returns the backend servers' load.
func (c *Client) Load(ctx context.Context) (LoadReply, error) {
	return get[LoadReply](ctx, c, "/load")
}

// Timeline returns the host's events with a sequence number above since.
func (c *Client) Timeline(ctx context.Context, since uint64) (TimelineReply, error) {
	return get[TimelineReply](ctx, c, "/timeline?since="+strconv.FormatUint(since, 10))
}

// PublishSettings publishes the text of a settings file. base is the version that the
// file is based on; if it is zero, the version that the file names counts.
func (c *Client) PublishSettings(ctx context.Context, id record.ID, base logservice.Offset, comment string, text []byte) PublishReply {
	query := url.Values{}
	query.Set("id", string(id))
	query.Set("comment", comment)
	query.Set("base", strconv.FormatUint(uint64(base), 10))
	return c.publish(ctx, id, "/settings/publish?"+query.Encode(), text)
}

// SetMark sets a mark.
func (c *Client) SetMark(ctx context.Context, request MarkRequest) (PublishReply, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return PublishReply{}, errors.Wrap(err, "admin: encode mark")
	}
	return c.publish(ctx, request.ID, "/marks", body), nil
}

// publish sends a publication and returns its result. If the answer does not contain
// the result, the result is Unknown, except after a status below 500: the host then
// rejected the request and appended nothing.
func (c *Client) publish(ctx context.Context, id record.ID, path string, body []byte) PublishReply {
	var reply PublishReply
	err := c.call(ctx, http.MethodPost, path, body, &reply)
	if reply.Status != "" {
		return reply
	}
	reply.ID = id
	reply.Status = publish.Unknown
	reply.Reason = "the answer does not contain the result of the publication"
	var failure *StatusError
	switch {
	case errors.As(err, &failure):
		reply.Reason = failure.Message
		if failure.Status < http.StatusInternalServerError {
			reply.Status = publish.NotAppended
		}
	case err != nil:
		reply.Reason = err.Error()
	}
	return reply
}

// get sends a GET request and returns the decoded answer.
func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var reply T
	err := c.call(ctx, http.MethodGet, path, nil, &reply)
	return reply, err
}

// call sends a request and decodes the answer into out. If the status is not 2xx, it
// also returns a StatusError.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+PathPrefix+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "admin: build request")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "admin: send request")
	}
	defer resp.Body.Close()
	data, err := bounded.ReadAll(resp.Body, maxReplyBytes)
	if err != nil {
		return errors.Wrap(err, "admin: read reply")
	}
	if resp.StatusCode/100 == 2 {
		return errors.Wrap(json.Unmarshal(data, out), "admin: decode reply")
	}
	// The body may not be JSON, for example if a proxy sent it; the message is then its text.
	_ = json.Unmarshal(data, out)
	return &StatusError{Status: resp.StatusCode, Message: errorMessage(data)}
}

// errorMessage returns the error message in the body of an answer that is not 2xx: its
// error, its reason or its faults, or the whole body if that is not JSON.
func errorMessage(data []byte) string {
	var reply struct {
		Error  string          `json:"error"`
		Reason string          `json:"reason"`
		Faults settings.Faults `json:"faults"`
	}
	if err := json.Unmarshal(data, &reply); err != nil {
		return strings.TrimSpace(string(data))
	}
	switch {
	case reply.Error != "":
		return reply.Error
	case reply.Reason != "":
		return reply.Reason
	}
	return reply.Faults.Error()
}
