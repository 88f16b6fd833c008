package front

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

// Fact is something that an answer shows about one incarnation of a server and that other hosts should know.
type Fact int

const (
	// LimitEnded means that the server no longer names a limit.
	LimitEnded Fact = iota + 1
	// Leaving means that the server is shutting down and gets no new requests.
	Leaving
)

// String returns the name of the fact in logs.
func (f Fact) String() string {
	return [...]string{"", "limit ended", "leaving"}[f]
}

// maxPause is the longest pause that a server can ask for.
const maxPause = time.Hour

// leavingValue is the value of the header Leaving in the answers of a server that is shutting down.
const leavingValue = "1"

// readFacts reads what an answer to a request that was sent at sentAt says about its server, whatever the
// answer's status.
func (in *Ingress) readFacts(r *Request, server *fleet.Server, status int, header http.Header, sentAt time.Duration) {
	in.readLimit(r, server, header, sentAt)
	if status == http.StatusServiceUnavailable {
		in.readRetryAfter(r, server, header)
	}
	if header.Get(in.headers.Leaving) != leavingValue || !server.MarkLeaving() {
		return
	}
	entry := server.Entry()
	in.log.Event("server", "id", entry.ID, "born", entry.Born, "request", r.ID, "outcome", Leaving.String())
	in.config.OnFact(entry, Leaving)
}

// readRetryAfter reads the pause for which a server that has rejected a request asks this host. A
// malformed time is ignored.
func (in *Ingress) readRetryAfter(r *Request, server *fleet.Server, header http.Header) {
	longest := 0.0
	for _, value := range header.Values("Retry-After") {
		wait, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || math.IsNaN(wait) || wait < 0 {
			in.log.Routine("server", "id", server.Entry().ID, "request", r.ID, "outcome", "rejected", "err", "malformed Retry-After", "value", value)
			continue
		}
		longest = max(longest, wait)
	}
	if longest == 0 {
		return
	}
	wait := time.Duration(min(longest, maxPause.Seconds()) * float64(time.Second))
	server.Pause(in.clock() + wait)
	in.log.Event("server", "id", server.Entry().ID, "request", r.ID, "outcome", "asked for a pause", "for_ms", wait.Milliseconds())
}
