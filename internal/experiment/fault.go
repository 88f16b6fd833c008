package experiment

import "github.com/poplarcroft/poplarcroft/internal/balance"

// planFault plans the fault that the configuration names.
func (m *model) planFault() {
	switch m.config.Fault {
	case FaultSlow:
		m.after(m.config.FaultAt, func() { m.slowSome() })
	case FaultMoving:
		m.after(m.config.FaultAt, m.moveSlow)
	case FaultCold:
		m.after(m.config.FaultAt, func() { m.restart(m.drawFaulty()) })
	case FaultFreeze:
		m.after(m.config.FaultAt, m.freezeSome)
	case FaultCrash:
		m.after(m.config.FaultAt, m.crashSome)
	}
}

// drawFaulty draws one server in five.
func (m *model) drawFaulty() []balance.Target {
	count := max(1, len(m.targets)/faultyShare)
	drawn := make([]balance.Target, count)
	for i, index := range m.faults.Perm(len(m.targets))[:count] {
		drawn[i] = m.targets[index]
	}
	return drawn
}

func (m *model) slowSome() {
	for _, target := range m.drawFaulty() {
		m.servers[target.Addr].slow = slowFactor
	}
}

// moveSlow lets the slow servers recover and slows others, again and again.
func (m *model) moveSlow() {
	for _, server := range m.servers {
		server.slow = 1
	}
	m.slowSome()
	m.after(slowMoves, m.moveSlow)
}

func (m *model) freezeSome() {
	for _, target := range m.drawFaulty() {
		m.servers[target.Addr].frozenUntil = m.now + freezeTime
	}
}

func (m *model) crashSome() {
	faulty := m.drawFaulty()
	for _, target := range faulty {
		m.servers[target.Addr].stop()
	}
	m.after(crashTime, func() { m.restart(faulty) })
}

// restart starts the servers cold. Hosts notice the new incarnation with the
// next answer; the model tells them at once.
func (m *model) restart(targets []balance.Target) {
	for _, target := range targets {
		m.servers[target.Addr].restart()
		for _, host := range m.hosts {
			host.policy.Restarted(target.Addr, m.now)
		}
	}
}
