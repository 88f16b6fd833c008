package experiment

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"

	"github.com/poplarcroft/poplarcroft/internal/balance"
)

// parallelRuns is the maximum number of runs that are computed concurrently.
const parallelRuns = 4

// Spread is the median, minimum and maximum of a figure over the runs.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

// Row summarizes the runs of one policy at one site under one fault. Its fields
// have the meaning of those of Result.
type Row struct {
	Site               string `json:"site"`
	Fault              Fault  `json:"fault"`
	Policy             string `json:"policy"`
	Runs               int    `json:"runs"`
	P50MS              Spread `json:"p50_ms"`
	P99MS              Spread `json:"p99_ms"`
	P999MS             Spread `json:"p999_ms"`
	Imbalance          Spread `json:"imbalance"`
	NotServed          Spread `json:"not_served"`
	AttemptsPerRequest Spread `json:"tries_per_request"`
	ColdOvershoot      Spread `json:"cold_overshoot"`
	// P99Ratio is the p99 latency of each run, divided by that of the run with
	// the same seed and without a fault.
	P99Ratio Spread `json:"p99_ratio"`
}

// variant is a policy under comparison.
type variant struct {
	name              string
	policy            balance.Name
	singleWarmingHost bool
}

// variants returns all policies, with the adaptive policy twice: with one host
// that sends to a server in cold start, and with all hosts doing so.
func variants() []variant {
	all := []variant{{name: "adaptive-all-warm", policy: balance.Adaptive}}
	for _, policy := range balance.Names() {
		all = append(all, variant{name: string(policy), policy: policy, singleWarmingHost: true})
	}
	return all
}

// Compare runs every policy at every site under every fault, with the given
// number of consecutive seeds from base.Seed on. The first fault should be
// FaultNone: P99Ratio refers to it, and is zero in the rows before it.
func Compare(base Config, faults []Fault, runs int) ([]Row, error) {
	var rows []Row
	for _, site := range Sites() {
		healthy := map[string][]Result{}
		for _, fault := range faults {
			for _, variant := range variants() {
				config := base
				config.Site, config.Fault = site, fault
				config.Policy, config.SingleWarmingHost = variant.policy, variant.singleWarmingHost
				results, err := runSeeds(config, runs)
				if err != nil {
					return nil, err
				}
				if fault == FaultNone {
					healthy[variant.name] = results
				}
				rows = append(rows, newRow(variant.name, results, healthy[variant.name]))
			}
		}
	}
	return rows, nil
}

// runSeeds runs the configuration with the given number of consecutive seeds,
// up to parallelRuns concurrently. The results are in the order of the seeds.
func runSeeds(config Config, runs int) ([]Result, error) {
	results := make([]Result, runs)
	errs := make([]error, runs)
	indexes := make(chan int)
	var workers sync.WaitGroup
	for range parallelRuns {
		workers.Go(func() {
			for i := range indexes {
				seeded := config
				seeded.Seed += uint64(i)
				results[i], errs[i] = Run(seeded)
			}
		})
	}
	for i := range runs {
		indexes <- i
	}
	close(indexes)
	workers.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

// newRow summarizes the runs of a policy. The healthy runs are those of the same
// seeds without a fault, if there are any.
func newRow(policy string, results, healthy []Result) Row {
	row := Row{
		Site:               results[0].Site,
		Fault:              results[0].Fault,
		Policy:             policy,
		Runs:               len(results),
		P50MS:              spreadOf(results, func(r Result) float64 { return r.P50MS }),
		P99MS:              spreadOf(results, func(r Result) float64 { return r.P99MS }),
		P999MS:             spreadOf(results, func(r Result) float64 { return r.P999MS }),
		Imbalance:          spreadOf(results, func(r Result) float64 { return r.Imbalance }),
		NotServed:          spreadOf(results, func(r Result) float64 { return r.NotServed }),
		AttemptsPerRequest: spreadOf(results, func(r Result) float64 { return r.AttemptsPerRequest }),
		ColdOvershoot:      spreadOf(results, func(r Result) float64 { return r.ColdOvershoot }),
	}
	ratios := make([]float64, len(healthy))
	for i := range healthy {
		ratios[i] = results[i].P99MS / healthy[i].P99MS
	}
	row.P99Ratio = newSpread(ratios)
	return row
}

func spreadOf[T any](results []T, value func(T) float64) Spread {
	values := make([]float64, len(results))
	for i, result := range results {
		values[i] = value(result)
	}
	return newSpread(values)
}

func newSpread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	return Spread{Median: sorted[len(sorted)/2], Min: sorted[0], Max: sorted[len(sorted)-1]}
}

// PrintRows writes the rows as a table of medians, with minimum and maximum for
// p99 and its ratio. The last column, the cold overshoot, is the maximum.
func PrintRows(w io.Writer, rows []Row) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "site\tfault\tpolicy\tp50 ms\tp99 ms (min-max)\tp99.9 ms\tp99 ratio (min-max)\tmax/mean\tnot served %\ttries/request\tcold overshoot")
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.1f\t%.0f (%.0f-%.0f)\t%.0f\t%.2f (%.2f-%.2f)\t%.2f\t%.3f\t%.3f\t%.1f\n",
			row.Site, row.Fault, row.Policy,
			row.P50MS.Median,
			row.P99MS.Median, row.P99MS.Min, row.P99MS.Max,
			row.P999MS.Median,
			row.P99Ratio.Median, row.P99Ratio.Min, row.P99Ratio.Max,
			row.Imbalance.Median,
			100*row.NotServed.Median,
			row.AttemptsPerRequest.Median,
			row.ColdOvershoot.Max)
	}
	return table.Flush()
}
