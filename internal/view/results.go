package view

import "github.com/poplarcroft/poplarcroft/internal/record"

// rememberedResults is the number of operators' records whose verdicts a view remembers.
const rememberedResults = 4096

// results are the verdicts on the latest settings and mark records by ID. Of
// several records with one ID, the first in the log counts.
type results struct {
	byID  map[record.ID]Verdict
	order []record.ID // oldest first
}

// add remembers the verdict on an operator's record and forgets the oldest one
// where there are too many.
func (s *results) add(r record.Record, verdict Verdict) {
	if r.Kind != record.KindSettings && r.Kind != record.KindMark {
		return
	}
	if _, repeated := s.byID[r.ID]; repeated {
		return
	}
	if s.byID == nil {
		s.byID = make(map[record.ID]Verdict)
	}
	if len(s.order) == rememberedResults {
		delete(s.byID, s.order[0])
		s.order = s.order[1:]
	}
	s.byID[r.ID] = verdict
	s.order = append(s.order, r.ID)
}

// Result returns the verdict on the settings or mark record with the ID, where
// the view has read it and still remembers it.
func (v *View) Result(id record.ID) (Verdict, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	verdict, known := v.results.byID[id]
	return verdict, known
}
