package lease

import "time"

// startLessors starts the policy of package keeper on all hosts.
func (s *sim) startLessors() {
	for _, h := range s.hosts {
		s.every(h, s.values.RenewEvery/2, h.leadDuty)
		s.every(h, s.values.RenewEvery/4, h.closeDuty)
		s.after(s.upTo(s.values.RenewEvery), h.renewDuty)
	}
}

// leadDuty asks for the lead and keeps it.
func (h *simHost) leadDuty() {
	s := h.sim
	now := h.local()
	lead := h.lessor.IsLead(now)
	if lead && !h.wasLead {
		h.silence.answer(now)
	}
	h.wasLead = lead
	switch {
	case lead:
		h.vacantSince = now
		if s.values.LeadTTL-(h.lessor.LeadUntil()-now) >= s.values.RenewEvery {
			h.ask()
		}
	case h.lessor.Holder(now) != "":
		h.vacantSince = now
	case now-h.vacantSince >= time.Duration(h.rank)*s.values.RenewEvery:
		h.ask()
	}
}

// ask asks all other lessors for their consent.
func (h *simHost) ask() {
	s := h.sim
	request, ok := h.lessor.AskLead(h.local())
	if !ok {
		return
	}
	for _, other := range s.hosts {
		if other == h {
			continue
		}
		var reply LeadReply
		s.call(h, other.alive, s.values.RenewEvery, func() {
			reply = other.lessor.HandleLead(other.local(), request)
		}, func(answered bool) {
			if answered {
				h.lessor.OnLeadReply(h.local(), request.Asked, reply)
				s.served()
			}
		})
	}
}

// renewDuty renews the server's lease while the host leads.
func (h *simHost) renewDuty() {
	if h.lost {
		return
	}
	s := h.sim
	now := h.local()
	if !h.lessor.IsLead(now) {
		s.after(s.values.RenewEvery, h.renewDuty)
		return
	}
	until, _ := h.lessor.NextLease(now)
	var clockMS int64
	s.call(h, s.serverLives, s.values.ServerSilence/2, func() {
		s.server.validUntilMS = max(s.server.validUntilMS, until)
		clockMS = s.server.clockMS(s.now)
		s.served()
	}, func(answered bool) {
		if answered {
			h.lessor.OnServerClock(h.local(), clockMS)
			h.silence.answer(h.local())
		} else if h.silence.fail(h.local(), s.values.ServerSilence) {
			h.lessor.StartClose(h.local(), "silent", ProofNone)
		}
		s.after(s.values.RenewEvery, h.renewDuty)
	})
}

// closeDuty carries a closing on, and activates the successor at its end.
func (h *simHost) closeDuty() {
	now := h.local()
	switch {
	case h.lessor.Closed(now):
		h.activate()
	case h.lessor.Phase() == PhaseProposing:
		h.propose()
	}
}

func (h *simHost) propose() {
	s := h.sim
	request, _ := h.lessor.StartClose(h.local(), "silent", ProofNone)
	for _, other := range s.hosts {
		if other == h {
			continue
		}
		var reply CloseReply
		s.call(h, other.alive, s.values.RenewEvery, func() {
			reply = other.lessor.HandleClose(other.local(), request)
		}, func(answered bool) {
			if answered {
				h.lessor.OnCloseReply(h.local(), reply)
			}
		})
	}
}

// activate asks the lead of the successor's session, which grants the slice.
func (h *simHost) activate() {
	if h.activating {
		return
	}
	h.activating = true
	s := h.sim
	s.after(s.latency()+s.latency(), func() {
		if s.servedAt == 0 {
			s.servedAt = s.now
		}
	})
}

// startBaseline starts the baseline: the log names the one host that renews,
// and every change of it and every move takes effect when it is read from the log.
func (s *sim) startBaseline() {
	s.hosts[0].renews = true
	for _, h := range s.hosts {
		s.after(s.upTo(s.values.RenewEvery), h.baselineRenew)
		s.after(s.upTo(s.values.RenewEvery), h.baselineWatch)
	}
}

// throughLog does something once a record has been appended and read.
func (s *sim) throughLog(h *simHost, do func()) {
	if h.lost {
		return
	}
	if !s.logUp {
		s.after(s.values.RenewEvery, func() { s.throughLog(h, do) })
		return
	}
	s.after(simLogMin+s.upTo(simLogMax-simLogMin), do)
}

// baselineRenew renews the server's lease, and moves the slice when the server is gone.
func (h *simHost) baselineRenew() {
	if h.lost {
		return
	}
	s := h.sim
	if !h.renews {
		s.after(s.values.RenewEvery, h.baselineRenew)
		return
	}
	s.call(h, s.serverLives, s.values.ServerSilence/2, func() {
		s.server.validUntilMS = s.server.clockMS(s.now) + s.values.LeaseTTL.Milliseconds()
		s.served()
	}, func(answered bool) {
		if answered {
			h.silence.answer(h.local())
		} else if h.silence.fail(h.local(), s.values.ServerSilence) {
			h.baselineMove()
			return
		}
		s.after(s.values.RenewEvery, h.baselineRenew)
	})
}

// baselineMove waits for the end of the last lease and moves the slice through the log.
func (h *simHost) baselineMove() {
	s := h.sim
	left := h.silence.answered + testConfig().outlast(s.values.LeaseTTL) - h.local()
	s.after(max(0, left), func() {
		s.throughLog(h, func() {
			s.after(s.latency()+s.latency(), func() { s.servedAt = s.now })
		})
	})
}

// baselineWatch takes the renewal over, through the log, when its host is gone.
func (h *simHost) baselineWatch() {
	s := h.sim
	if h.lost || h.renews || h.rank != 1 {
		return
	}
	renewer := s.hosts[0]
	s.call(h, renewer.alive, s.values.RenewEvery, func() {}, func(answered bool) {
		if answered {
			h.watched.answer(h.local())
		} else if h.watched.fail(h.local(), s.values.ServerSilence) {
			s.throughLog(h, func() {
				h.renews = true
				h.silence.answer(h.local())
				s.served()
			})
			return
		}
		s.after(s.values.RenewEvery, h.baselineWatch)
	})
}
