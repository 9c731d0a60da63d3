package experiment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"redwingloft/pkg/api"
)

// namedComparison is one line of the table.
type namedComparison struct {
	name string
	Comparison
}

func (r *Result) comparisons() []namedComparison {
	return []namedComparison{
		{"retry budget, half of the engines failing", r.Retries},
		{"retry budget, a quarter failing, no queue", r.RetriesAtCapacity},
		{"hedges", r.Hedges},
		{"admission at twice the capacity", r.Overload},
		{"weights 0.8/0.2 against baseline", r.AttainmentWeight},
		{"weights 0.2/0.8 against baseline", r.CostWeight},
		{"weights 0.8/0.2 against 0.2/0.8", r.Weights},
		{"routing against round robin, delayed reports", r.Routing},
		{"admission during and after a burst", r.Recovery},
	}
}

// Print writes all comparisons as one table. Ratios are the policy's value divided by the baseline's.
func (r *Result) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "comparison\trequests\tattainment\tbaseline\tratio\tcost per attained\tbaseline\tratio\tratio by stage\textra attempts\tbaseline\twrong")
	for _, c := range r.comparisons() {
		fmt.Fprintf(table, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%s\t%.3f\t%.3f\t%d\n",
			c.name, c.Policy.Requests, c.Policy.Attainment, c.Baseline.Attainment, c.AttainmentRatio,
			c.Policy.CostPerAttained, c.Baseline.CostPerAttained, c.CostRatio, stageRatios(c.StageCostRatios),
			c.Policy.ExtraAttempts, c.Baseline.ExtraAttempts, c.Policy.Wrong+c.Baseline.Wrong)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "goodput at twice the capacity divided by goodput at the capacity: %.3f\n"+
		"attainment by %.1f s window of arrivals, burst in the third and fourth:\n  admission %.3f\n  baseline  %.3f\nseed: %d\n",
		r.GoodputShare, r.RecoverySeconds, r.Recovery.Policy.Windows, r.Recovery.Baseline.Windows, r.Seed)
	return err
}

func stageRatios(ratios map[api.StageName]float64) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(ratios)) {
		parts = append(parts, fmt.Sprintf("%s %.3f", name, ratios[name]))
	}
	return strings.Join(parts, ", ")
}
