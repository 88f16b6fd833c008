package view

import "github.com/poplarcroft/poplarcroft/internal/record"

// maxResults is the number of operator records whose decisions a view keeps.
const maxResults = 4096

// results holds the decisions on the latest settings and mark records by record ID.
// If several records have the same ID, the decision on the first in the log counts.
type results struct {
	byID  map[record.ID]Decision
	order []record.ID // oldest first
}

// add stores the decision if the record is an operator record. The oldest decision is
// dropped if there are more than maxResults.
func (s *results) add(r record.Record, decision Decision) {
	if r.Kind != record.KindSettings && r.Kind != record.KindMark {
		return
	}
	if _, duplicate := s.byID[r.ID]; duplicate {
		return
	}
	if s.byID == nil {
		s.byID = make(map[record.ID]Decision)
	}
	if len(s.order) == maxResults {
		delete(s.byID, s.order[0])
		s.order = s.order[1:]
	}
	s.byID[r.ID] = decision
	s.order = append(s.order, r.ID)
}

// Result returns the decision on the settings or mark record with the ID. It returns
// false if the view has not applied the record or no longer keeps its decision.
func (v *View) Result(id record.ID) (Decision, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	decision, known := v.results.byID[id]
	return decision, known
}
