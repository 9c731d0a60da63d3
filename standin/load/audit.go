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

// Audit compares what the upstreams ran with what the callers were told of
// their orders, and returns a line for each violation.
func Audit(control string, doc *document.Document, orders []replay.Told) ([]string, error) {
	ran := map[string]int{}
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
				ran[run.Key]++
			}
		}
	}
	return violations(ran, orders), nil
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

// violations checks that no key ran twice, that every answered order ran, and
// that no order of which every caller was told "not run" has run.
func violations(ran map[string]int, orders []replay.Told) []string {
	var found []string
	for key, count := range ran {
		if count > 1 {
			found = append(found, fmt.Sprintf("order %s ran %d times", key, count))
		}
	}
	onlyRefused := map[string]bool{}
	for _, order := range orders {
		if order.Outcome == trace.OutcomeAnswered && ran[order.Key] == 0 && order.IsOrder() {
			found = append(found, fmt.Sprintf("order %s was answered and did not run", order.Key))
		}
		refused, seen := onlyRefused[order.Key]
		onlyRefused[order.Key] = order.Run == api.RunNo && (refused || !seen)
	}
	for key, refused := range onlyRefused {
		if refused && ran[key] > 0 {
			found = append(found, fmt.Sprintf("order %s ran and its callers were told that it did not", key))
		}
	}
	return found
}
