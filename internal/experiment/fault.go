package experiment

import "github.com/poplarcroft/poplarcroft/internal/balance"

// scheduleFault schedules the fault that the configuration names.
func (m *model) scheduleFault() {
	switch m.config.Fault {
	case FaultSlow:
		m.schedule(m.config.FaultAt, func() { m.slowServers() })
	case FaultMoving:
		m.schedule(m.config.FaultAt, m.moveSlowness)
	case FaultCold:
		m.schedule(m.config.FaultAt, func() { m.restart(m.drawFaulty()) })
	case FaultFreeze:
		m.schedule(m.config.FaultAt, m.freezeServers)
	case FaultCrash:
		m.schedule(m.config.FaultAt, m.crashServers)
	}
}

// drawFaulty draws the servers that get the fault: one in five, at least one.
func (m *model) drawFaulty() []balance.Target {
	count := max(1, len(m.targets)/serversPerFault)
	drawn := make([]balance.Target, count)
	for i, index := range m.faultRand.Perm(len(m.targets))[:count] {
		drawn[i] = m.targets[index]
	}
	return drawn
}

func (m *model) slowServers() {
	for _, target := range m.drawFaulty() {
		m.servers[target.Addr].slowdown = slowFactor
	}
}

// moveSlowness lets the slow servers recover, slows others, and schedules itself again.
func (m *model) moveSlowness() {
	for _, server := range m.servers {
		server.slowdown = 1
	}
	m.slowServers()
	m.schedule(slowInterval, m.moveSlowness)
}

func (m *model) freezeServers() {
	for _, target := range m.drawFaulty() {
		m.servers[target.Addr].frozenUntil = m.now + freezeDuration
	}
}

func (m *model) crashServers() {
	faulty := m.drawFaulty()
	for _, target := range faulty {
		m.servers[target.Addr].stop()
	}
	m.schedule(crashDuration, func() { m.restart(faulty) })
}

// restart restarts the servers with a cold start. In the real system a host
// notices a new incarnation with the next answer; here all hosts are informed at
// once.
func (m *model) restart(targets []balance.Target) {
	for _, target := range targets {
		m.servers[target.Addr].restart()
		for _, host := range m.hosts {
			host.policy.Restarted(target.Addr, m.now)
		}
	}
}
