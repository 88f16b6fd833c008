package edge

import (
	"context"

	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

// tellLimitEnded tells all other hosts that a server's limit has ended. A host that does not get
// the message learns it from the server's next answer to itself.
func (h *Host) tellLimitEnded(entry fleet.Entry) {
	args := LimitEndedArgs{From: h.self.Name, ID: entry.ID, Born: entry.Born}
	for _, host := range h.current.Plan().Hosts {
		if host.SameIncarnation(h.self) || host.Retired {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			defer cancel()
			if err := h.peers.limitEnded(ctx, host, args); err != nil {
				h.log.Routine("limit", "server", entry.ID, "to", host.Name, "outcome", "end not told", "err", err.Error())
			}
		}()
	}
}
