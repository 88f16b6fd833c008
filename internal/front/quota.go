package front

import (
	"context"
	"strings"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/routetable"
	"github.com/poplarcroft/poplarcroft/internal/sharedlimit"
)

const (
	// quotaWait is how long a request waits for the allocator's answer if there is no token. An answer takes a few
	// milliseconds.
	quotaWait = 150 * time.Millisecond
	// quotaSlack is the number of requests that are added to the burst of an account over all hosts. In 5 s an account
	// may run 20 requests beyond 1.1 times its quota; the rest is for hosts with shares of less than one request.
	quotaSlack = 18
)

// QuotaLimit returns the limit that all hosts share for an account's quota, and false if it has none. A settled allocator
// gives out sharedlimit.SettledTotal of it, which is the quota. While a new one settles, the hosts may use up to 1.08
// times the quota, of the 1.1 times that are allowed.
func QuotaLimit(account routetable.Account) (sharedlimit.Limit, bool) {
	if account.RatePerSecond <= 0 {
		return sharedlimit.Limit{}, false
	}
	return sharedlimit.Limit{
		Rate:  account.RatePerSecond / sharedlimit.SettledTotal,
		Burst: max(account.Burst, 0)/sharedlimit.SettledTotal + quotaSlack,
	}, true
}

// accountLimitPrefix precedes the name of the account in the name of its limit.
const accountLimitPrefix = "account/"

// meteredSlack is the number of requests that are added to the burst of an account where the leader adds up what hosts have
// admitted. It keeps small accounts from needing shares by chance, and is half of what the rule allows beyond the quota.
const meteredSlack = 10

// QuotaByID returns the quota of the account whose limit has the given name, and false if it has none.
func QuotaByID(table *routetable.Table, id string) (sharedlimit.Limit, bool) {
	name, ok := strings.CutPrefix(id, accountLimitPrefix)
	account := table.Accounts[name]
	if !ok || account.RatePerSecond <= 0 {
		return sharedlimit.Limit{}, false
	}
	return sharedlimit.Limit{Rate: account.RatePerSecond, Burst: max(account.Burst, 0) + meteredSlack}, true
}

// accountLimit returns the name of the limit of an account.
func accountLimit(account string) string {
	return accountLimitPrefix + account
}

// handleWithinQuota handles a request of a caller if its account's quota allows. A request that has not run does not count
// for the quota, and one that has run more than once counts as often.
func (in *Ingress) handleWithinQuota(ctx context.Context, table *routetable.Table, r *Request) Result {
	limit, limited := QuotaLimit(table.Accounts[r.Account])
	if in.config.Shares == nil || r.Account == "" || !limited {
		return in.handleIfAdmitted(ctx, r)
	}
	id := accountLimit(r.Account)
	if in.config.Usage != nil && in.config.Usage.Admit(id, in.clock()) {
		result := in.handleIfAdmitted(ctx, r)
		in.config.Usage.Spend(id, runsBeyondOne(r, result))
		return result
	}
	if decision := in.takeQuota(ctx, r, id, limit); decision != sharedlimit.Taken {
		return in.refuseByQuota(r, id, decision)
	}
	result := in.handleIfAdmitted(ctx, r)
	beyond := runsBeyondOne(r, result)
	if beyond != 0 {
		in.config.Shares.Return(id, limit, -float64(beyond), in.clock())
	}
	if in.config.Usage != nil {
		in.config.Usage.Spend(id, 1+beyond)
	}
	return result
}

// runsBeyondOne returns how many more times than once a request has run by its result: -1 if it has not run.
func runsBeyondOne(r *Request, result Result) int {
	if result.Kind == NotRun {
		return -1
	}
	return max(r.runs-1, 0)
}

// handleIfAdmitted handles a request if this host has the memory and the link for its answer.
func (in *Ingress) handleIfAdmitted(ctx context.Context, r *Request) Result {
	if refusal, ok := in.admit(ctx, r); !ok {
		return refusal
	}
	return in.handle(ctx, r)
}

// takeQuota takes a token. If there is none, but the next answer of the allocator may bring one, it waits for that.
func (in *Ingress) takeQuota(ctx context.Context, r *Request, id string, limit sharedlimit.Limit) sharedlimit.Decision {
	until := min(in.clock()+quotaWait, r.Deadline)
	for again := false; ; again = true {
		changed := in.config.Shares.Changed()
		now := in.clock()
		decision := in.config.Shares.Take(id, limit, again, now)
		if decision == sharedlimit.Taken || decision == sharedlimit.Empty || now >= until || ctx.Err() != nil {
			return decision
		}
		waitFor(ctx, changed, until-now)
	}
}

// refuseByQuota returns the result of a request that got no token. Without a share it is not known whether the quota is
// used up.
func (in *Ingress) refuseByQuota(r *Request, id string, decision sharedlimit.Decision) Result {
	in.config.Shares.Refused(decision)
	if decision == sharedlimit.NoShare {
		return notRun(reasonNoShare, defaultRetryAfter)
	}
	now := in.clock()
	return notRun(reasonQuota, min(in.config.Shares.RetryAfter(id, now), max((r.Deadline-now)/3, time.Millisecond)))
}
