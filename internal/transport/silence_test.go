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
	boxes := []struct {
		name string
		drop middlebox
	}{{"idle 0.2-5 s", dropsIdle}, {"any time, mean 20 s", dropsAny}}
	for _, box := range boxes {
		for _, policy := range []struct {
			name     string
			freshFor time.Duration
		}{{"plain client", 0}, {"fresh for 100 ms", DefaultFreshFor}, {"always new", -1}} {
			synctest.Test(t, func(t *testing.T) {
				dial, dials := behind(box.drop, rand.New(rand.NewPCG(1, 1)))
				var send func(context.Context) error
				target := NewTarget("10.0.0.1:80", Options{Dial: dial, Connections: 8, FreshFor: policy.freshFor})
				plain := &http.Transport{DialContext: dial, IdleConnTimeout: 90 * time.Second}
				if policy.freshFor == 0 {
					send = func(ctx context.Context) error {
						req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://10.0.0.1:80/sign", nil)
						assert.NilError(t, err)
						return drain(plain.RoundTrip(req))
					}
				} else {
					send = func(ctx context.Context) error {
						result := target.Send(ctx, post)
						return drain(result.Response, result.Err)
					}
				}
				harmed, mean := harmedBy(send)
				t.Logf("%-20s %-17s harmed %4d of %d, %.2f new connections per request, mean %v",
					box.name, policy.name, harmed, silenceRequests, float64(*dials)/silenceRequests, mean.Round(10*time.Microsecond))
				if policy.freshFor != 0 && box.name == boxes[0].name {
					assert.Equal(t, harmed, 0)
				}
				target.Close()
				plain.CloseIdleConnections()
				time.Sleep(time.Minute)
			})
		}
	}
}
