package edge

import (
	"context"

	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/front"
)

// broadcastFact sends to all other hosts what an answer has shown about a server. A host that does not get the
// message learns it from the server's next answer to itself.
func (h *Host) broadcastFact(entry fleet.Entry, fact front.Fact) {
	if fact == front.Leaving {
		h.leader.Wake()
	}
	args := FactArgs{From: h.self.Name, ID: entry.ID, Born: entry.Born, Fact: fact}
	for _, host := range h.current.Plan().Hosts {
		if host.SameIncarnation(h.self) || host.Retired {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			defer cancel()
			if err := h.peers.fact(ctx, host, args); err != nil {
				h.log.Routine("server", "id", entry.ID, "to", host.Name, "outcome", "not sent: "+fact.String(), "err", err.Error())
			}
		}()
	}
}
