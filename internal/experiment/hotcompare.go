package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// HotRow summarizes the runs of one strategy. Its fields have the meaning of
// those of HotResult.
type HotRow struct {
	Strategy         Strategy `json:"strategy"`
	Runs             int      `json:"runs"`
	Imbalance        Spread   `json:"imbalance"`
	SettledImbalance Spread   `json:"settled"`
	Floor            Spread   `json:"floor"`
	LeaveChurn       Spread   `json:"leave_churn"`
	JoinChurn        Spread   `json:"join_churn"`
	HotMoved         Spread   `json:"hot_moved_per_minute"`
}

// CompareHot runs every strategy with the given number of consecutive seeds from
// base.Seed on.
func CompareHot(base HotConfig, runs int) []HotRow {
	var rows []HotRow
	for _, strategy := range Strategies() {
		results := make([]HotResult, runs)
		for i := range results {
			config := base
			config.Strategy = strategy
			config.Seed += uint64(i)
			results[i] = RunHot(config)
		}
		rows = append(rows, newHotRow(strategy, results))
	}
	return rows
}

func newHotRow(strategy Strategy, results []HotResult) HotRow {
	return HotRow{
		Strategy:         strategy,
		Runs:             len(results),
		Imbalance:        spreadOf(results, func(r HotResult) float64 { return r.Imbalance }),
		SettledImbalance: spreadOf(results, func(r HotResult) float64 { return r.SettledImbalance }),
		Floor:            spreadOf(results, func(r HotResult) float64 { return r.Floor }),
		LeaveChurn:       spreadOf(results, func(r HotResult) float64 { return r.LeaveChurn }),
		JoinChurn:        spreadOf(results, func(r HotResult) float64 { return r.JoinChurn }),
		HotMoved:         spreadOf(results, func(r HotResult) float64 { return r.HotMoved }),
	}
}

// PrintHotRows writes the rows as a table of medians with minimum and maximum.
func PrintHotRows(w io.Writer, rows []HotRow) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "strategy\tmax/mean\tmax/mean settled\thottest key/mean\tleave: moved/had to\tjoin: moved/had to\thot: % of slices moved/min")
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", row.Strategy,
			row.Imbalance, row.SettledImbalance, row.Floor, row.LeaveChurn, row.JoinChurn, row.HotMoved.scaled(100))
	}
	return table.Flush()
}

// String returns the median with the minimum and maximum in parentheses.
func (s Spread) String() string {
	return fmt.Sprintf("%.2f (%.2f-%.2f)", s.Median, s.Min, s.Max)
}

func (s Spread) scaled(factor float64) Spread {
	return Spread{Median: factor * s.Median, Min: factor * s.Min, Max: factor * s.Max}
}
