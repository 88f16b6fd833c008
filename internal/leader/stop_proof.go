package leader

import (
	"slices"
	"strings"
	"sync"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

// StopProof says how it is known that an incarnation of a host renews no grants by plans older than a given one. That another
// incarnation has registered, or that the plan lists another one, is no proof.
type StopProof string

const (
	// NotProved means that the incarnation may still renew by an older plan.
	NotProved StopProof = "not proved"
	// Acknowledged means that the incarnation has said that it acts by the plan or a newer one.
	Acknowledged StopProof = "acknowledged"
	// AddressTaken means that the incarnation has ended: another one answers at its address, or has run there since.
	AddressTaken StopProof = "address taken"
	// Expired means that the incarnation can't rely on an older plan any more, since it can't have verified one for so long.
	Expired StopProof = "expired"
)

// stoppedRenewers holds by which proof each host that may have renewed a grant is known to have stopped. It is safe for
// concurrent use.
type stoppedRenewers struct {
	mu     sync.Mutex
	proofs map[hostID]StopProof
}

// add adds the proof for one incarnation of a host.
func (s *stoppedRenewers) add(host assign.Host, proof StopProof) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.proofs == nil {
		s.proofs = make(map[hostID]StopProof)
	}
	s.proofs[idOf(host)] = proof
}

// acknowledged returns the number of hosts that have acknowledged the plan.
func (s *stoppedRenewers) acknowledged() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, proof := range s.proofs {
		if proof == Acknowledged {
			n++
		}
	}
	return n
}

// others describes the proofs other than acknowledgements.
func (s *stoppedRenewers) others() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var others []string
	for id, proof := range s.proofs {
		if proof != Acknowledged {
			others = append(others, id.name+"/"+id.incarnation+" "+string(proof))
		}
	}
	slices.Sort(others)
	return strings.Join(others, ", ")
}
