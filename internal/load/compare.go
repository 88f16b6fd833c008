package load

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
)

// Comparison is the result of the same schedule sent directly to backend servers
// and through hosts.
type Comparison struct {
	Direct Summary `json:"direct"`
	Routed Summary `json:"routed"`
	// AddedP50MS and AddedP99MS are the latency quantiles of the done requests
	// through hosts, less those of the direct run.
	AddedP50MS float64 `json:"added_p50_ms"`
	AddedP99MS float64 `json:"added_p99_ms"`
}

// Compare sends the load to the backend servers first and then through the hosts.
// It measures the CPU time of the processes during the second run. Only the
// second run writes to records.
func Compare(ctx context.Context, config Config, servers []string, pids []int, records io.Writer) (Comparison, error) {
	direct := config
	direct.Direct = true
	direct.Targets = servers
	var comparison Comparison
	var err error
	comparison.Direct, err = Run(ctx, direct, nil)
	if err != nil {
		return comparison, errors.Wrap(err, "direct run")
	}
	comparison.Routed, err = RunWithCPUTime(ctx, config, pids, records)
	if err != nil {
		return comparison, errors.Wrap(err, "routed run")
	}
	comparison.AddedP50MS = comparison.Routed.Done.P50MS - comparison.Direct.Done.P50MS
	comparison.AddedP99MS = comparison.Routed.Done.P99MS - comparison.Direct.Done.P99MS
	return comparison, nil
}

// RunWithCPUTime is like Run and adds to the summary the CPU time that the
// processes used during the run. Without pids it measures nothing.
func RunWithCPUTime(ctx context.Context, config Config, pids []int, records io.Writer) (Summary, error) {
	before, err := CPUTime(pids)
	if err != nil {
		return Summary{}, err
	}
	summary, err := Run(ctx, config, records)
	if err != nil || len(pids) == 0 {
		return summary, err
	}
	after, err := CPUTime(pids)
	if err != nil {
		return summary, err
	}
	summary.CPUSeconds = (after - before).Seconds()
	if summary.CPUSeconds > 0 {
		summary.PerCPUSecond = float64(summary.Done.Count) / summary.CPUSeconds
	}
	return summary, nil
}
