package front

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
	"github.com/poplarcroft/poplarcroft/internal/sharedlimit"
)

const testAccountKey = "key-of-the-account"

const testAccount = "vltava"

// withQuota gives a system an account with a quota and shares without an allocator, and makes all requests those of the
// account.
func withQuota(s *system, rate, burst float64) *sharedlimit.Holder {
	table := *s.ingress.config.Table()
	table.Accounts = map[string]routetable.Account{testAccount: {Name: testAccount, RatePerSecond: rate, Burst: burst}}
	holder := sharedlimit.NewHolder("h1", "1")
	s.ingress.config.Shares = holder
	table.AccountOfKey = map[string]string{testAccountKey: testAccount}
	s.ingress.config.Table = func() *routetable.Table { return &table }
	s.callers.Config.Handler = http.HandlerFunc(s.serveAs)
	return holder
}

// serveAs is ServeHTTP for a caller with the key of testAccount.
func (s *system) serveAs(w http.ResponseWriter, hr *http.Request) {
	hr.Header.Set(testHeaders.Authorization, testHeaders.AuthScheme+" "+testAccountKey)
	s.ingress.ServeHTTP(w, hr)
}

// grant makes the holder ask once, and answers it with a share and tokens.
func grant(t *testing.T, holder *sharedlimit.Holder, g sharedlimit.Grant) {
	t.Helper()
	leader := sharedlimit.Leader{Incarnation: "L", Plan: 1}
	var ask sharedlimit.Ask
	for due := false; !due; {
		time.Sleep(time.Millisecond)
		ask, due = holder.Ask(leader, true, clock.Monotonic())
	}
	answer := sharedlimit.Answer{Lease: 10 * time.Second, Settled: true, Grants: map[string]sharedlimit.Grant{accountLimit(testAccount): g}}
	holder.Answered(ask.Sequence, "L", answer, leader, clock.Monotonic())
}

func retryAfter(t *testing.T, response *http.Response) float64 {
	t.Helper()
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	return seconds
}

// TestNoShareIsNoQuotaRefusal guards against a 429 for a request of which it is not known whether it exceeds the quota.
func TestNoShareIsNoQuotaRefusal(t *testing.T) {
	server := startServer(t, answerOK)
	s := newSystem(t, server)
	withQuota(s, 100, 100)
	started := time.Now()
	response, _, err := s.call(t, "GET", "/any/x", "")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, retryAfter(t, response), 0.3)
	assert.Assert(t, time.Since(started) >= quotaWait)
	assert.Equal(t, len(server.seen()), 0)
}

// TestFirstAnswerOfTheAllocatorIsAwaited guards against the refusal of the first request of an account at a host.
func TestFirstAnswerOfTheAllocatorIsAwaited(t *testing.T) {
	s := newSystem(t, startServer(t, answerOK))
	holder := withQuota(s, 100, 100)
	var answering sync.WaitGroup
	answering.Go(func() {
		<-holder.Wake()
		grant(t, holder, sharedlimit.Grant{Fraction: 0.5, Tokens: 0.1})
	})
	response, _, err := s.call(t, "GET", "/any/x", "")
	answering.Wait()
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
}

// TestRequestBeyondTheQuotaIsRefused guards against a quota that is not kept, and against a Retry-After that callers do not
// honour because it is longer than a third of the time they have left.
func TestRequestBeyondTheQuotaIsRefused(t *testing.T) {
	server := startServer(t, answerOK)
	s := newSystem(t, server)
	s.timeoutMS = "6000"
	holder := withQuota(s, 0.01, 1)
	holder.Take(accountLimit(testAccount), sharedlimit.Limit{Rate: 0.01, Burst: 20}, false, clock.Monotonic())
	grant(t, holder, sharedlimit.Grant{Fraction: 0.5, Tokens: 0.11, Exhausted: true})
	var statuses []int
	for range 4 {
		response, _, err := s.call(t, "GET", "/any/x", "")
		assert.NilError(t, err)
		statuses = append(statuses, response.StatusCode)
		if response.StatusCode == http.StatusTooManyRequests {
			assert.Assert(t, retryAfter(t, response) > 1.5 && retryAfter(t, response) <= 2, "%v", retryAfter(t, response))
		}
	}
	assert.DeepEqual(t, statuses, []int{200, 200, 429, 429})
	assert.Equal(t, len(server.seen()), 2)
}

// TestRequestThatHasNotRunCostsNoQuota guards against an account that loses its quota to refusals of full servers.
func TestRequestThatHasNotRunCostsNoQuota(t *testing.T) {
	shed := make([]string, 0, 6)
	for range 5 {
		shed = append(shed, answerShed)
	}
	s := newSystem(t, startServer(t, append(shed, answerOK)...))
	holder := withQuota(s, 0.01, 1)
	holder.Take(accountLimit(testAccount), sharedlimit.Limit{Rate: 0.01, Burst: 20}, false, clock.Monotonic())
	grant(t, holder, sharedlimit.Grant{Fraction: 0.06, Tokens: 0.055, Exhausted: true})
	for range 5 {
		response, _, err := s.call(t, "GET", "/any/x", "")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	}
	response, _, err := s.call(t, "GET", "/any/x", "")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
}

// TestRunsBeyondTheFirstAreCharged guards against a quota that is exceeded by retries: of two tokens a request that runs at
// two servers takes both.
func TestRunsBeyondTheFirstAreCharged(t *testing.T) {
	s := newSystem(t, startServer(t, "", answerOK), startServer(t, answerOK))
	holder := withQuota(s, 0.01, 1)
	holder.Take(accountLimit(testAccount), sharedlimit.Limit{Rate: 0.01, Burst: 20}, false, clock.Monotonic())
	grant(t, holder, sharedlimit.Grant{Fraction: 0.5, Tokens: 0.11, Exhausted: true})
	for _, status := range []int{200, 429} {
		response, _, err := s.call(t, "GET", "/any/x", "")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, status)
	}
}

// TestAccountsWithoutARateNeedNoShare guards against a host that refuses requests of accounts without a limit.
func TestAccountsWithoutARateNeedNoShare(t *testing.T) {
	s := newSystem(t, startServer(t, answerOK))
	holder := withQuota(s, 0, 0)
	response, _, err := s.call(t, "GET", "/any/x", "")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
	_, due := holder.Ask(sharedlimit.Leader{Incarnation: "L", Plan: 1}, false, clock.Monotonic())
	assert.Assert(t, !due)
}

// TestRunsAtThePrimaryAreCharged guards against a quota that is exceeded by the retries of primaries: the primary tells how often
// the request ran, the caller does not see that, and a server cannot say it.
func TestRunsAtThePrimaryAreCharged(t *testing.T) {
	for name, test := range map[string]struct {
		answers  []string
		statuses []int
	}{
		"two runs":         {[]string{"", answerOK}, []int{200, 429}},
		"one run":          {[]string{answerOK}, []int{200, 200, 429}},
		"told by a server": {[]string{rawAnswer(200, "done", headerRuns+": 9\r\n")}, []int{200, 200, 429}},
	} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, test.answers...)
			primary := newHost(t, "h2", server.addr)
			s := newSystem(t, server)
			host := assign.Host{Name: "h2", Zone: "zlin", Addr: servePeersWith(t, primary.ingress.ServeForwarded)}
			for _, system := range []*system{s, primary} {
				system.assignAllKeys("revize-0", server.addr, 2, host)
			}
			holder := withQuota(s, 0.01, 1)
			holder.Take(accountLimit(testAccount), sharedlimit.Limit{Rate: 0.01, Burst: 20}, false, clock.Monotonic())
			grant(t, holder, sharedlimit.Grant{Fraction: 0.5, Tokens: 0.11, Exhausted: true})
			for _, status := range test.statuses {
				response, _, err := s.call(t, "GET", "/keyed/x", "")
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, status)
				assert.Equal(t, response.Header.Get(headerRuns), "")
			}
		})
	}
}
