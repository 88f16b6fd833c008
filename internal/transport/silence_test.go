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
	silenceRequests = 2000
	meanPause       = time.Second
	dialTime        = time.Millisecond
	serviceTime     = 5 * time.Millisecond
	silenceDeadline = 2 * time.Second
)

// middlebox decides when connections through it go silent.
type middlebox func(random *rand.Rand) (afterIdle, afterAge time.Duration)

// never is longer than any connection lives.
const never = 1000 * time.Hour

// dropsIdle silences a connection that has been idle for 0.2 to 5 s.
func dropsIdle(random *rand.Rand) (time.Duration, time.Duration) {
	return 200*time.Millisecond + time.Duration(random.Int64N(int64(4800*time.Millisecond))), never
}

// dropsAny silences a connection at any time of its life, after 20 s in the mean.
func dropsAny(random *rand.Rand) (time.Duration, time.Duration) {
	return never, time.Duration(random.ExpFloat64() * float64(20*time.Second))
}

// behind returns a dial function to a server behind a middlebox, with a count of its calls.
func behind(box middlebox, random *rand.Rand) (DialFunc, *int) {
	dials := 0
	return func(context.Context, string, string) (net.Conn, error) {
		time.Sleep(dialTime)
		dials++
		afterIdle, afterAge := box(random)
		opened, active := time.Now(), time.Now()
		answer := func(conn net.Conn, req *http.Request) bool {
			if time.Since(active) >= afterIdle || time.Since(opened) >= afterAge {
				return silent(conn, req)
			}
			time.Sleep(serviceTime)
			active = time.Now()
			return write(whole)(conn, req)
		}
		near, far := net.Pipe()
		go newFake(answer).serve(far)
		return near, nil
	}, &dials
}

// harmedBy sends sign-offs one after the other and counts those whose outcome stays unknown.
func harmedBy(send func(context.Context) error) (harmed int, worked time.Duration) {
	random := rand.New(rand.NewPCG(7, 7))
	for range silenceRequests {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanPause)))
		ctx, cancel := context.WithTimeout(context.Background(), silenceDeadline)
		began := time.Now()
		if send(ctx) != nil {
			harmed++
		} else {
			worked += time.Since(began)
		}
		cancel()
	}
	return harmed, worked / time.Duration(max(silenceRequests-harmed, 1))
}

// drain reads an answer to its end.
func drain(resp *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// TestSignOffsHarmedBySilentConnections counts sign-offs that a silent
// connection leaves unknown, and prints them with a plain client's for comparison.
func TestSignOffsHarmedBySilentConnections(t *testing.T) {
	plain := func(dial DialFunc) func(context.Context) error {
		transport := &http.Transport{DialContext: dial, IdleConnTimeout: 90 * time.Second}
		return func(ctx context.Context) error {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://10.0.0.1:80/sign", nil)
			assert.NilError(t, err)
			return drain(transport.RoundTrip(req))
		}
	}
	ours := func(freshFor time.Duration) func(DialFunc) func(context.Context) error {
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
		harmless    bool
	}{
		{"idle 0.2-5 s", "plain client", dropsIdle, plain, false},
		{"idle 0.2-5 s", "fresh for 100 ms", dropsIdle, ours(DefaultFreshFor), true},
		{"idle 0.2-5 s", "always new", dropsIdle, ours(-1), true},
		{"any time, mean 20 s", "plain client", dropsAny, plain, false},
		{"any time, mean 20 s", "fresh for 100 ms", dropsAny, ours(DefaultFreshFor), false},
		{"any time, mean 20 s", "always new", dropsAny, ours(-1), false},
	} {
		synctest.Test(t, func(t *testing.T) {
			dial, dials := behind(c.drop, rand.New(rand.NewPCG(1, 1)))
			harmed, mean := harmedBy(c.sender(dial))
			t.Logf("%-20s %-17s harmed %4d of %d, %.2f new connections per request, mean %v", c.box, c.policy,
				harmed, silenceRequests, float64(*dials)/silenceRequests, mean.Round(10*time.Microsecond))
			assert.Assert(t, !c.harmless || harmed == 0)
			time.Sleep(2 * time.Minute)
		})
	}
}
