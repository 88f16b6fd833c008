package concurrency

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// TestReplayTable prints the figures of docs/design/uneven-servers.md.
func TestReplayTable(t *testing.T) {
	if os.Getenv("REPLAY_TABLE") == "" {
		t.Skip("prints figures only; takes two minutes of four processors")
	}
	type row struct {
		config replayConfig
		name   string
		result chan replayResult
	}
	var rows []row
	slots := make(chan struct{}, 4)
	for _, factors := range [][]float64{{0.6, 1.0, 1.4}, {0.7, 0.7, 1.7}} {
		for _, load := range []float64{0.6, 0.9} {
			for _, congestion := range []float64{0, 1, 2} {
				for _, p := range replayPolicies {
					c := replayConfig{
						servers: 12, slots: 4, factors: factors, spread: 0.5, congestion: congestion, noise: true, slow: true,
						load: load, duration: 150 * time.Second, policy: p.policy, lasting: p.lasting,
					}
					rows = append(rows, row{c, p.name, make(chan replayResult, 1)})
				}
			}
		}
	}
	for _, r := range rows {
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			var sum replayResult
			for seed := range 4 {
				c := r.config
				c.seed = uint64(seed)
				sum = sum.add(newReplay(c).run())
			}
			r.result <- sum
		}()
	}
	for i, r := range rows {
		if i%len(replayPolicies) == 0 {
			fmt.Printf("factors %v, load %v, congestion %v\n", r.config.factors, r.config.load, r.config.congestion)
		}
		fmt.Printf("  %-24s %v\n", r.name, <-r.result)
	}
}
