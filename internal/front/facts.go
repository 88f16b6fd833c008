package front

import (
	"net/http"
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

// leavingValue is the value of the header Leaving in the answers of a server that is shutting down.
const leavingValue = "1"

// readFacts reads what an answer to a request that was sent at sentAt says about its server, whatever the
// answer's status.
func (in *Ingress) readFacts(r *Request, server *fleet.Server, header http.Header, sentAt time.Duration) {
	in.readLimit(r, server, header, sentAt)
	if header.Get(in.headers.Leaving) != leavingValue || !server.MarkLeaving() {
		return
	}
	entry := server.Entry()
	in.log.Event("server", "id", entry.ID, "born", entry.Born, "request", r.ID, "outcome", Leaving.String())
	in.config.OnFact(entry, Leaving)
}
