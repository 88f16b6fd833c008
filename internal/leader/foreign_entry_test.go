package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/grants"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// keyedTable is a configuration with one service whose servers own keys and one without keys.
var keyedTable = routetable.New(routetable.Config{Services: map[string]routetable.Service{"revize": {Keyed: true}, "archiv": {}}})

// newKeyedPlanner returns a leader of two servers, which hold all keys since its second step. Further entries of the service discovery
// are set with the returned function.
func newKeyedPlanner(t *testing.T, granter grants.Granter) (p *planner, setFurther func(...fleet.Entry)) {
	t.Helper()
	p = newPlanner(incarnationOf("a", "1"))
	p.table = keyedTable
	p.Granter = granter
	p.Table = func() *routetable.Table { return keyedTable }
	p.ZoneEvacuated = func(string) bool { return false }
	p.Fleet = fleet.New(fleet.Options{Target: func(string) *transport.Target { return nil }})
	setFurther = func(further ...fleet.Entry) {
		entries := []fleet.Entry{
			{ID: "s1", Service: "revize", Addr: "10.0.0.1:80", Zone: "zlin", Slots: 4, Born: 10},
			{ID: "s2", Service: "revize", Addr: "10.0.0.2:80", Zone: "zlin", Slots: 4, Born: 10},
		}
		p.Fleet.Set(append(entries, further...), p.now)
	}
	setFurther()
	p.step(time.Hour)
	p.step(time.Hour)
	assert.Equal(t, p.ownerOf(0).Server.ID, "s1")
	return p, setFurther
}

// ownerOf returns the assignment of a key.
func (p *planner) ownerOf(key keyrange.Key) assign.Assignment {
	a, _ := p.plan.Lookup("revize", key)
	return a
}

// TestEntryOfAnotherServiceFreesNoKeys guards against two servers that hold the same keys: the leader took an entry of another service at the
// address of a live server for the proof that the server had ended, and gave its keys to others without a release (review, case 11).
// An entry of a service that the configuration does not name changes nothing. One of a service that it names makes the leader ask.
func TestEntryOfAnotherServiceFreesNoKeys(t *testing.T) {
	const ahead = 10 + 3_600_000
	for name, c := range map[string]struct {
		entry fleet.Entry
		want  assign.Phase
	}{
		"service that is not named":                  {fleet.Entry{ID: "x", Service: "sonda", Addr: "10.0.0.1:80", Zone: "zlin", Slots: 4, Born: 11}, assign.Held},
		"service that is not named, from the future": {fleet.Entry{ID: "x", Service: "sonda", Addr: "10.0.0.1:80", Zone: "zlin", Slots: 4, Born: ahead}, assign.Held},
		"service that is named":                      {fleet.Entry{ID: "x", Service: "archiv", Addr: "10.0.0.1:80", Zone: "zlin", Slots: 4, Born: 11}, assign.Releasing},
		"service that is named, an earlier start":    {fleet.Entry{ID: "x", Service: "archiv", Addr: "10.0.0.1:80", Zone: "zlin", Slots: 4, Born: 9}, assign.Held},
		"another address":                            {fleet.Entry{ID: "x", Service: "archiv", Addr: "10.0.0.3:80", Zone: "zlin", Slots: 4, Born: 11}, assign.Held},
	} {
		t.Run(name, func(t *testing.T) {
			p, setFurther := newKeyedPlanner(t, nil)
			setFurther(c.entry)
			for range 5 {
				p.step(time.Second)
				a := p.ownerOf(0)
				assert.Equal(t, a.Server.ID, "s1")
				assert.Equal(t, a.Phase, c.want)
			}
		})
	}
}

// refusingGranter answers releases with an error.
type refusingGranter struct {
	grants.Granter
	err error
}

// Release implements grants.Granter.
func (g refusingGranter) Release(context.Context, assign.Server, keyrange.Range, assign.Fence) (string, error) {
	return "", g.err
}

// TestAnswerOfAnotherServiceProvesTheEnd checks what frees the keys of a server at whose address one of another service runs: that it answers the
// release, which it does not know. An entry alone, or such an answer without an entry, does not.
func TestAnswerOfAnotherServiceProvesTheEnd(t *testing.T) {
	successor := fleet.Entry{ID: "x", Service: "archiv", Addr: "10.0.0.1:80", Zone: "zlin", Slots: 4, Born: 11}
	for name, c := range map[string]struct {
		entry fleet.Entry
		err   error
		want  bool
	}{
		"entry and answer":                {successor, grants.ErrRefused, true},
		"entry, no answer":                {successor, errNoAnswer, false},
		"answer, no entry":                {fleet.Entry{ID: "y", Service: "archiv", Addr: "10.0.0.3:80", Zone: "zlin", Born: 11}, grants.ErrRefused, false},
		"answer, service is not named":    {fleet.Entry{ID: "x", Service: "sonda", Addr: "10.0.0.1:80", Zone: "zlin", Born: 11}, grants.ErrRefused, false},
		"answer, entry of earlier server": {fleet.Entry{ID: "x", Service: "archiv", Addr: "10.0.0.1:80", Zone: "zlin", Born: 9}, grants.ErrRefused, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, setFurther := newKeyedPlanner(t, refusingGranter{err: c.err})
				setFurther(c.entry)
				released := p.plan.Clone()
				a := &released.Services["revize"][0]
				a.Phase, a.Fence = assign.Releasing, p.plan.Version+1
				released.Version = a.Fence
				released.Hosts = nil
				p.Current.Adopt(released)
				p.Current.Verify(p.now, 0)
				p.startReleases(released)
				synctest.Wait()
				p.mu.Lock()
				_, proved := p.proofs["revize"][a.First]
				p.mu.Unlock()
				assert.Equal(t, proved, c.want)
				p.stopReleases()
				time.Sleep(time.Minute)
			})
		})
	}
}
