package concurrency

// counters counts changes of widths.
type counters struct {
	narrowed, widened, slowTimes int64
}

// count counts a change.
func (c *counters) count(from, to Change) {
	switch {
	case to.Width < from.Width:
		c.narrowed++
	case to.Width > from.Width:
		c.widened++
	}
	if to.Slow && !from.Slow {
		c.slowTimes++
	}
}

// Snapshot returns the counters and the present state for the metrics endpoint.
func (l *Learner) Snapshot() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	narrow, slow, known, running := 0, 0, 0, 0
	for _, s := range l.servers {
		running += len(s.present)
		if s.width < s.slots+extraWidth {
			narrow++
		}
		if s.spell.slow {
			slow++
		}
		if _, ok := s.speed.value(); ok {
			known++
		}
	}
	return map[string]any{
		"servers": len(l.servers), "running": running, "speed_known": known, "narrow": narrow, "slow": slow,
		"narrowed": l.counters.narrowed, "widened": l.counters.widened, "slow_times": l.counters.slowTimes,
	}
}
