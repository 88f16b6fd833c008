package assign

import (
	"fmt"
	"testing"
)

// BenchmarkPrimary measures how long it takes to find the primary of a server among 91 hosts.
func BenchmarkPrimary(b *testing.B) {
	current := NewCurrent()
	hosts := make([]Host, 91)
	for i := range hosts {
		hosts[i] = Host{Name: fmt.Sprintf("edge-%02d", i), Incarnation: "1", Zone: []string{"brno", "zlin", "opava"}[i%3]}
	}
	current.Adopt(Plan{Version: 1, Hosts: hosts})
	servers := make([]Server, 404)
	for i := range servers {
		servers[i] = Server{ID: fmt.Sprintf("revize-%03d", i), Zone: "zlin"}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		plan := current.Plan()
		if len(plan.FirstHosts(servers[i%len(servers)], 1, func(Host) bool { return true })) == 0 {
			b.Fatal("no host")
		}
	}
}
