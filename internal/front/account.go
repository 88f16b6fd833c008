package front

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// Reasons with which a request that needs a key of a client account is refused. Nothing says which keys exist.
const (
	reasonNoKey      = "the request has no key of a client account"
	reasonUnknownKey = "the key belongs to no client account"
)

// identity is what is known of the client account of a request.
type identity struct {
	// checked says that the request has been authenticated. It is false if there are no client accounts.
	checked bool
	// account is empty for a request on a public route without a known key.
	account routetable.Account
}

// authenticate finds the client account of a request by its header. It returns the reason of the refusal if the route
// needs a known key and the request has none. Without accounts in the configuration there is nothing to check.
func (in *Ingress) authenticate(header http.Header, table *routetable.Table, public bool) (who identity, refusal string) {
	if table == nil || len(table.Accounts) == 0 {
		return identity{}, ""
	}
	key := in.keyOf(header)
	if name, known := table.AccountOfKey[key]; known && key != "" {
		return identity{checked: true, account: table.Accounts[name]}, ""
	}
	switch {
	case public:
		return identity{checked: true}, ""
	case key == "":
		return identity{}, reasonNoKey
	}
	return identity{}, reasonUnknownKey
}

// keyOf returns the key in a header, or an empty text if there is none. Several values are no key, since a server or
// another host could take another one of them.
func (in *Ingress) keyOf(header http.Header) string {
	values := header.Values(in.headers.Authorization)
	if len(values) != 1 {
		return ""
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, in.headers.AuthScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// identify records in a request who makes it, and replaces the key in its header by the account. A request that has not
// been checked stays as it is.
func (in *Ingress) identify(r *Request, who identity) {
	if !who.checked {
		return
	}
	r.AccountChecked = true
	r.Account = who.account.Name
	if who.account.HasPriority {
		r.Priority = who.account.Priority
	}
	r.Header.Del(in.headers.Authorization)
	r.Header.Del(in.headers.Account)
	if r.Account != "" {
		r.Header.Set(in.headers.Account, r.Account)
	}
}

// identityOfForwarded returns the identity of a request that another host forwards. A host that has authenticated
// the request says so, and its word counts: its configuration may be a newer one. Any other host is of an older build or has
// a configuration without accounts, and what its request says about the account is the caller's.
func (in *Ingress) identityOfForwarded(hr *http.Request, r *Request, table *routetable.Table) (who identity, refusal string, err error) {
	if r.AccountChecked {
		account := routetable.Account{Name: hr.Header.Get(in.headers.Account)}
		return identity{checked: true, account: account}, "", nil
	}
	if table == nil || len(table.Accounts) == 0 {
		return identity{}, "", nil
	}
	route, ok := table.Lookup(hr.Host, hr.URL.EscapedPath())
	if !ok {
		return identity{}, "", errForwardedRoute
	}
	who, refusal = in.authenticate(hr.Header, table, route.Public)
	return who, refusal, nil
}

// maxDiscardedBody is the size in bytes up to which the body of a request without a known key is received and dropped, so that
// the connection stays usable. The HTTP library does so before it sends the answer, for up to 256 KB unless the connection is closed.
const maxDiscardedBody = 4 << 10

// refuseUnauthorized answers a request that has no known key.
func (in *Ingress) refuseUnauthorized(w http.ResponseWriter, hr *http.Request, route, reason string) {
	in.Counters.countUnauthorized(reason)
	if unlogged, due := in.unauthorizedLines.take(in.clock()); due {
		in.log.Event("answer", "id", hr.Header.Get(in.headers.RequestID), "route", route, "caller", withoutPort(hr.RemoteAddr),
			"status", http.StatusUnauthorized, "reason", reason, "unlogged_before", unlogged)
	}
	if hr.ContentLength < 0 || hr.ContentLength > maxDiscardedBody {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("WWW-Authenticate", in.headers.AuthScheme)
	writeRefusal(w, http.StatusUnauthorized, reason)
}

// unauthorizedLineInterval is the time between two log lines about requests without a known key. A caller whose
// key has been withdrawn may go on sending at its full rate.
const unauthorizedLineInterval = time.Second

// boundedLines decides which of many similar events get a log line. It is safe for concurrent use.
type boundedLines struct {
	mu       sync.Mutex
	next     time.Duration
	unlogged int64
}

// take reports whether the event at the given time gets a line, and how many before it got none.
func (b *boundedLines) take(now time.Duration) (unlogged int64, due bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now < b.next {
		b.unlogged++
		return 0, false
	}
	unlogged, b.unlogged = b.unlogged, 0
	b.next = now + unauthorizedLineInterval
	return unlogged, true
}
