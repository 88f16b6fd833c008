package transport

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	requestCount   = 2000
	meanPause      = time.Second
	dialTime       = time.Millisecond
	serviceTime    = 5 * time.Millisecond
	requestTimeout = 2 * time.Second
)

// middlebox decides when it starts to drop all packets of a connection: once it has been
// idle for afterIdle, or open for afterAge.
type middlebox func(random *rand.Rand) (afterIdle, afterAge time.Duration)

// never is longer than any connection exists.
const never = 1000 * time.Hour

// dropsIdle drops a connection that has been idle for a random time from 0.2 to 5 s.
func dropsIdle(random *rand.Rand) (time.Duration, time.Duration) {
	return 200*time.Millisecond + time.Duration(random.Int64N(int64(4800*time.Millisecond))), never
}

// dropsAny drops a connection at a random age, 20 s in the mean, idle or not.
func dropsAny(random *rand.Rand) (time.Duration, time.Duration) {
	return never, time.Duration(random.ExpFloat64() * float64(20*time.Second))
}

// dialBehind returns a dial function to a server behind a middlebox, and a counter of its calls.
func dialBehind(box middlebox, random *rand.Rand) (DialFunc, *int) {
	dials := 0
	return func(context.Context, string, string) (net.Conn, error) {
		time.Sleep(dialTime)
		dials++
		afterIdle, afterAge := box(random)
		opened, active := time.Now(), time.Now()
		answer := func(conn net.Conn, req *http.Request) bool {
			if time.Since(active) >= afterIdle || time.Since(opened) >= afterAge {
				return neverAnswer(conn, req)
			}
			time.Sleep(serviceTime)
			active = time.Now()
			return answerWith(completeAnswer)(conn, req)
		}
		near, far := net.Pipe()
		go newFakeServer(answer).serve(far)
		return near, nil
	}, &dials
}

// countUnknown sends requests one after the other. It counts those whose outcome stays
// unknown and returns the mean time of the others.
func countUnknown(send func(context.Context) error) (unknown int, answerTime time.Duration) {
	random := rand.New(rand.NewPCG(7, 7))
	for range requestCount {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanPause)))
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		began := time.Now()
		if send(ctx) != nil {
			unknown++
		} else {
			answerTime += time.Since(began)
		}
		cancel()
	}
	return unknown, answerTime / time.Duration(max(requestCount-unknown, 1))
}

// drain reads an answer to its end and returns its first error.
func drain(resp *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// TestUnknownOutcomesBehindAMiddlebox counts the non-idempotent requests whose outcome
// stays unknown because a middlebox dropped their connection, for a target and, to
// compare, for a plain http.Transport. A target must lose none to idle timeouts.
func TestUnknownOutcomesBehindAMiddlebox(t *testing.T) {
	plain := func(dial DialFunc) func(context.Context) error {
		transport := &http.Transport{DialContext: dial, IdleConnTimeout: 90 * time.Second}
		return func(ctx context.Context) error {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://10.0.0.1:80/sign", nil)
			assert.NilError(t, err)
			return drain(transport.RoundTrip(req))
		}
	}
	ourTarget := func(freshFor time.Duration) func(DialFunc) func(context.Context) error {
		return func(dial DialFunc) func(context.Context) error {
			target := NewTarget("10.0.0.1:80", Options{Dial: dial, Clock: fakeClock, Connections: 8, FreshFor: freshFor})
			return func(ctx context.Context) error {
				result := target.Send(ctx, post)
				return drain(result.Response, result.Err)
			}
		}
	}
	for _, c := range []struct {
		box, policy string
		drop        middlebox
		sender      func(DialFunc) func(context.Context) error
		loseNone    bool
	}{
		{"idle 0.2-5 s", "plain client", dropsIdle, plain, false},
		{"idle 0.2-5 s", "fresh for 100 ms", dropsIdle, ourTarget(DefaultFreshFor), true},
		{"idle 0.2-5 s", "always new", dropsIdle, ourTarget(-1), true},
		{"any time, mean 20 s", "plain client", dropsAny, plain, false},
		{"any time, mean 20 s", "fresh for 100 ms", dropsAny, ourTarget(DefaultFreshFor), false},
		{"any time, mean 20 s", "always new", dropsAny, ourTarget(-1), false},
	} {
		synctest.Test(t, func(t *testing.T) {
			dial, dials := dialBehind(c.drop, rand.New(rand.NewPCG(1, 1)))
			unknown, mean := countUnknown(c.sender(dial))
			t.Logf("%-20s %-17s unknown %4d of %d, %.2f new connections per request, mean %v", c.box, c.policy,
				unknown, requestCount, float64(*dials)/requestCount, mean.Round(10*time.Microsecond))
			assert.Assert(t, !c.loseNone || unknown == 0)
			time.Sleep(2 * time.Minute)
		})
	}
}
