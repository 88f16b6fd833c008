package experiment

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"

	"github.com/poplarcroft/poplarcroft/internal/balance"
)

// parallelRuns bounds the runs that are computed at a time.
const parallelRuns = 4

// Spread is the median, least and largest value over the runs.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

// Row sums up the runs of one policy at one site under one fault.
type Row struct {
	Site      string `json:"site"`
	Fault     Fault  `json:"fault"`
	Policy    string `json:"policy"`
	Runs      int    `json:"runs"`
	P50MS     Spread `json:"p50_ms"`
	P99MS     Spread `json:"p99_ms"`
	P999MS    Spread `json:"p999_ms"`
	Imbalance Spread `json:"imbalance"`
	NotServed Spread `json:"not_served"`
	Tries     Spread `json:"tries_per_request"`
	Overshoot Spread `json:"cold_overshoot"`
	// P99Ratio compares each run's p99 with the same seed's run without a fault.
	P99Ratio Spread `json:"p99_ratio"`
}

// variant is a policy under comparison.
type variant struct {
	name     string
	policy   balance.Name
	oneWarms bool
}

// variants lists all policies, and the adaptive one also with every host
// sending to cold servers.
func variants() []variant {
	all := []variant{{name: "adaptive-all-warm", policy: balance.Adaptive}}
	for _, policy := range balance.Names() {
		all = append(all, variant{name: string(policy), policy: policy, oneWarms: true})
	}
	return all
}

// Compare runs every policy at every site under every fault, with runs seeds
// from base.Seed on. The first fault should be FaultNone; the ratios refer to it.
func Compare(base Config, faults []Fault, runs int) ([]Row, error) {
	var rows []Row
	for _, site := range Sites() {
		healthy := map[string][]Result{}
		for _, fault := range faults {
			for _, variant := range variants() {
				config := base
				config.Site, config.Fault = site, fault
				config.Policy, config.OneWarms = variant.policy, variant.oneWarms
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

// runSeeds runs the configuration with runs seeds, a few at a time.
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

func newRow(policy string, results, healthy []Result) Row {
	row := Row{
		Site:      results[0].Site,
		Fault:     results[0].Fault,
		Policy:    policy,
		Runs:      len(results),
		P50MS:     spreadOf(results, func(r Result) float64 { return r.P50MS }),
		P99MS:     spreadOf(results, func(r Result) float64 { return r.P99MS }),
		P999MS:    spreadOf(results, func(r Result) float64 { return r.P999MS }),
		Imbalance: spreadOf(results, func(r Result) float64 { return r.Imbalance }),
		NotServed: spreadOf(results, func(r Result) float64 { return r.NotServed }),
		Tries:     spreadOf(results, func(r Result) float64 { return r.TriesPerRequest }),
		Overshoot: spreadOf(results, func(r Result) float64 { return r.ColdOvershoot }),
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

// PrintRows writes the rows as a table with the median and, for p99 and its
// ratio, the least and largest value.
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
			row.Tries.Median,
			row.Overshoot.Max)
	}
	return table.Flush()
}
