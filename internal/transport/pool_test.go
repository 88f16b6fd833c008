package transport

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestPoolBehindAnHTTPClient(t *testing.T) {
	for name, c := range map[string]struct {
		scripts []script
		refuse  bool
		notSent bool
		sent    int64
	}{
		"refused":                  {[]script{answerWith(completeAnswer)}, true, true, 0},
		"new connection breaks":    {[]script{answerAndClose("")}, false, false, 1},
		"reused connection breaks": {[]script{answerWith(completeAnswer), answerAndClose("")}, false, false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := newFakeServer(c.scripts...)
				server.refuse.Store(c.refuse)
				pool := NewPool(Options{Dial: server.dial, Clock: fakeClock, Connections: 4})
				client := &http.Client{Transport: pool}
				var err error
				for range c.scripts {
					req, buildErr := http.NewRequest(http.MethodPost, "http://10.0.0.1:80/sign", bytes.NewReader([]byte("x")))
					assert.NilError(t, buildErr)
					req.Header.Set("Idempotency-Key", "k")
					var resp *http.Response
					resp, err = client.Do(req)
					if err == nil {
						body, readErr := io.ReadAll(resp.Body)
						assert.NilError(t, readErr)
						assert.Equal(t, string(body), "done")
						resp.Body.Close()
					}
				}
				assert.Assert(t, err != nil)
				assert.Equal(t, errors.Is(err, ErrNotSent), c.notSent, "%v", err)
				assert.Equal(t, server.requests.Load(), c.sent)
				pool.CloseIdleConnections()
			})
		})
	}
}

func TestPoolRemovesUnusedTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool(Options{Dial: newFakeServer(answerWith(completeAnswer)).dial, Clock: fakeClock, Connections: 1})
		first := pool.Target("10.0.0.1:80")
		assert.Equal(t, pool.Target("10.0.0.1:80"), first)
		time.Sleep(unusedTargetTTL)
		pool.Target("10.0.0.2:80")
		assert.Equal(t, pool.Len(), 1)
	})
}
