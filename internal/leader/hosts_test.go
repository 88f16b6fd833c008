package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

// TestRegistrationFromBeforeARestoreReplacesNoHost checks that a registration that a restored log brings
// back does not replace a later incarnation of the host, which lives and may renew grants: releases
// do not wait for an incarnation that the plan no longer lists.
func TestRegistrationFromBeforeARestoreReplacesNoHost(t *testing.T) {
	older, later := assign.Host{Name: "b", Incarnation: "1"}, assign.Host{Name: "b", Incarnation: "2"}
	registered := []assign.Host{older}
	l := New(Config{Self: assign.Host{Name: "a", Incarnation: "1"}, Hosts: func() []assign.Host { return registered }})
	listed := func() string {
		for _, host := range l.nextHosts([]assign.Host{later}, assign.FenceAt(1, 3), time.Second) {
			if host.Name == "b" {
				return host.Incarnation
			}
		}
		return ""
	}
	assert.Equal(t, listed(), "2")
	registered[0].Incarnation, registered[0].Era = "3", 1
	assert.Equal(t, listed(), "3")
}
