package lease

import "time"

// startLessors starts the loops of package keeper on all hosts.
func (s *sim) startLessors() {
	for _, h := range s.hosts {
		s.every(h, s.values.RenewEvery/2, h.primaryLoop)
		s.every(h, s.values.RenewEvery/4, h.closeLoop)
		s.after(s.randomBelow(s.values.RenewEvery), h.renewLoop)
	}
}

// primaryLoop requests consents as primary if there is none, and renews them while the host is primary.
func (h *simHost) primaryLoop() {
	s := h.sim
	now := h.local()
	primary := h.lessor.IsPrimary(now)
	if primary && !h.wasPrimary {
		h.detector.recordAnswer(now)
	}
	h.wasPrimary = primary
	switch {
	case primary:
		h.noPrimarySince = now
		if s.values.LeadTTL-(h.lessor.PrimaryUntil()-now) >= s.values.RenewEvery {
			h.ask()
		}
	case h.lessor.Holder(now) != "":
		h.noPrimarySince = now
	case now-h.noPrimarySince >= time.Duration(h.rank)*s.values.RenewEvery:
		h.ask()
	}
}

// ask requests the consent of all other lessors.
func (h *simHost) ask() {
	s := h.sim
	request, ok := h.lessor.RequestPrimary(h.local())
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
		}, func(gotAnswer bool) {
			if gotAnswer {
				h.lessor.OnLeadReply(h.local(), request.Asked, reply)
				s.checkServed()
			}
		})
	}
}

// renewLoop renews the server's lease while the host is primary.
func (h *simHost) renewLoop() {
	if h.lost {
		return
	}
	s := h.sim
	now := h.local()
	if !h.lessor.IsPrimary(now) {
		s.after(s.values.RenewEvery, h.renewLoop)
		return
	}
	until, _ := h.lessor.NextLease(now)
	var clockMS int64
	s.call(h, s.serverAlive, s.values.ServerSilence/2, func() {
		s.server.validUntilMS = max(s.server.validUntilMS, until)
		clockMS = s.server.clockMS(s.now)
		s.checkServed()
	}, func(gotAnswer bool) {
		if gotAnswer {
			h.lessor.OnServerClock(h.local(), clockMS)
			h.detector.recordAnswer(h.local())
		} else if h.detector.recordFailure(h.local(), s.values.ServerSilence) {
			h.lessor.StartClose(h.local(), "silent", ProofNone)
		}
		s.after(s.values.RenewEvery, h.renewLoop)
	})
}

// closeLoop proposes a closing again until a quorum has joined, and activates the
// successor once the session is closed.
func (h *simHost) closeLoop() {
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
		}, func(gotAnswer bool) {
			if gotAnswer {
				h.lessor.OnCloseReply(h.local(), reply)
			}
		})
	}
}

// activate activates the slice at the successor: one message to the primary of
// the successor's session and one from that primary to its server.
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

// startBaseline starts the protocol that the lessors are compared with: the log
// names the only host that renews the lease. A change of that host or a move of
// the slice takes effect when it is read from the log.
func (s *sim) startBaseline() {
	s.hosts[0].renews = true
	for _, h := range s.hosts {
		s.after(s.randomBelow(s.values.RenewEvery), h.baselineRenew)
		s.after(s.randomBelow(s.values.RenewEvery), h.baselineWatch)
	}
}

// throughLog calls do once a record has been appended to the log and read back.
func (s *sim) throughLog(h *simHost, do func()) {
	if h.lost {
		return
	}
	if !s.logUp {
		s.after(s.values.RenewEvery, func() { s.throughLog(h, do) })
		return
	}
	s.after(simLogMin+s.randomBelow(simLogMax-simLogMin), do)
}

// baselineRenew renews the server's lease, and moves the slice when the server has failed.
func (h *simHost) baselineRenew() {
	if h.lost {
		return
	}
	s := h.sim
	if !h.renews {
		s.after(s.values.RenewEvery, h.baselineRenew)
		return
	}
	s.call(h, s.serverAlive, s.values.ServerSilence/2, func() {
		s.server.validUntilMS = s.server.clockMS(s.now) + s.values.LeaseTTL.Milliseconds()
		s.checkServed()
	}, func(gotAnswer bool) {
		if gotAnswer {
			h.detector.recordAnswer(h.local())
		} else if h.detector.recordFailure(h.local(), s.values.ServerSilence) {
			h.baselineMove()
			return
		}
		s.after(s.values.RenewEvery, h.baselineRenew)
	})
}

// baselineMove waits for the end of the last lease and moves the slice through the log.
func (h *simHost) baselineMove() {
	s := h.sim
	remaining := h.detector.lastAnswer + testConfig().withDrift(s.values.LeaseTTL) - h.local()
	s.after(max(0, remaining), func() {
		s.throughLog(h, func() {
			s.after(s.latency()+s.latency(), func() { s.servedAt = s.now })
		})
	})
}

// baselineWatch takes over the renewal, through the log, when the renewing host has failed.
func (h *simHost) baselineWatch() {
	s := h.sim
	if h.lost || h.renews || h.rank != 1 {
		return
	}
	renewer := s.hosts[0]
	s.call(h, renewer.alive, s.values.RenewEvery, func() {}, func(gotAnswer bool) {
		if gotAnswer {
			h.renewerDetector.recordAnswer(h.local())
		} else if h.renewerDetector.recordFailure(h.local(), s.values.ServerSilence) {
			s.throughLog(h, func() {
				h.renews = true
				h.detector.recordAnswer(h.local())
				s.checkServed()
			})
			return
		}
		s.after(s.values.RenewEvery, h.baselineWatch)
	})
}
