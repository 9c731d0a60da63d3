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

// row is one comparison of the table.
type row struct {
	name string
	Comparison
}

func (r *Result) rows() []row {
	return []row{
		{"retry budget, half of the engines fail", r.Retries},
		{"retry budget, a quarter fails, no queue", r.RetriesAtCapacity},
		{"hedges", r.Hedges},
		{"admission at twice the capacity", r.Overload},
		{"weights 0.8/0.2 to plain", r.AttainmentWeight},
		{"weights 0.2/0.8 to plain", r.CostWeight},
		{"weights 0.8/0.2 to 0.2/0.8", r.Weights},
		{"routing to round robin, late reports", r.Routing},
		{"admission around a burst", r.Recovery},
	}
}

// Print writes all comparisons as one table. Ratios are those of the policy over its plain version.
func (r *Result) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "comparison\trequests\tattainment\tplain\tratio\tcost per attained\tplain\tratio\tratio by stage\textra attempts\tplain\twrong")
	for _, c := range r.rows() {
		fmt.Fprintf(table, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%s\t%.3f\t%.3f\t%d\n",
			c.name, c.Policy.Requests, c.Policy.Attainment, c.Plain.Attainment, c.AttainmentRatio,
			c.Policy.CostPerAttained, c.Plain.CostPerAttained, c.CostRatio, stageRatios(c.StageCostRatios),
			c.Policy.ExtraAttempts, c.Plain.ExtraAttempts, c.Policy.Wrong+c.Plain.Wrong)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "goodput at twice the capacity over that at the capacity: %.3f\n"+
		"attainment by %.1f s of arrivals, burst in the third and fourth:\n  admission %.3f\n  plain     %.3f\nseed: %d\n",
		r.GoodputShare, r.RecoverySeconds, r.Recovery.Policy.Windows, r.Recovery.Plain.Windows, r.Seed)
	return err
}

func stageRatios(ratios map[api.StageName]float64) string {
	var texts []string
	for _, name := range slices.Sorted(maps.Keys(ratios)) {
		texts = append(texts, fmt.Sprintf("%s %.3f", name, ratios[name]))
	}
	return strings.Join(texts, ", ")
}
