package load

import (
	"encoding/json"
	"fmt"
	"net/http"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/trace"
	"redwingloft/internal/service/replay"
	"redwingloft/pkg/api"
	"redwingloft/standin/service"
)

// Audit compares the orders that upstreams ran with the outcomes that callers received,
// and returns a message for each violation.
func Audit(control string, doc *document.Document, orders []replay.EntryResult) ([]string, error) {
	runCounts := map[string]int{}
	for _, group := range doc.Groups {
		if group.Kind != document.GroupHTTP {
			continue
		}
		runs, err := fetchRuns(control, group.Name)
		if err != nil {
			return nil, err
		}
		for _, run := range runs {
			if run.Key != "" {
				runCounts[run.Key]++
			}
		}
	}
	return findViolations(runCounts, orders), nil
}

func fetchRuns(control string, group api.GroupName) ([]service.Run, error) {
	response, err := http.Get("http://" + control + "/runs/" + string(group))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var runs []service.Run
	err = json.NewDecoder(response.Body).Decode(&runs)
	return runs, err
}

// findViolations checks that no order ran twice, that every order with a response ran, and
// that no order ran if every caller received "not run" for it.
func findViolations(runCounts map[string]int, orders []replay.EntryResult) []string {
	var violations []string
	for key, count := range runCounts {
		if count > 1 {
			violations = append(violations, fmt.Sprintf("order %s ran %d times", key, count))
		}
	}
	onlyRefused := map[string]bool{}
	for _, order := range orders {
		if order.Outcome == trace.OutcomeAnswered && runCounts[order.Key] == 0 && order.IsOrder() {
			violations = append(violations, fmt.Sprintf("order %s was answered but did not run", order.Key))
		}
		refused, seen := onlyRefused[order.Key]
		onlyRefused[order.Key] = order.Run == api.RunNo && (refused || !seen)
	}
	for key, refused := range onlyRefused {
		if refused && runCounts[key] > 0 {
			violations = append(violations, fmt.Sprintf("order %s ran although its callers received \"not run\"", key))
		}
	}
	return violations
}
