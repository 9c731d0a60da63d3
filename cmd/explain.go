package cmd

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"redwingloft/internal/data/settings"
	"redwingloft/internal/service/forward"
	"redwingloft/internal/web/admin"
	"redwingloft/pkg/api"
)

// Values of the flag --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "show where an entry host would send a request now, and why, without sending it",
		Description: `Asks a running entry host over its admin listener. The host decides with the code that serves
requests, and reserves and counts nothing. It knows its own state only. Example:

   redwingloft explain --settings entry.ini --host h --path /plan/1 --workspace w \
      --parts system:6300,session:2890 --tokens 9190,200 --items 4,2 --left 5s`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "admin", Usage: "`address` of the host's admin listener; instead of --settings"},
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "path of the host's INI `file`, which has the address", Sources: cli.EnvVars(settingsEnv)},
			&cli.StringFlag{Name: "host", Required: true, Usage: "virtual `host` of the request"},
			&cli.StringFlag{Name: "path", Required: true, Usage: "`path` of the request"},
			&cli.StringFlag{Name: "workspace", Usage: "`name` of the workspace; not needed for public routes"},
			&cli.StringFlag{Name: "parts", Usage: "prompt `parts` in sequence: ID:TOKENS,..."},
			&cli.StringFlag{Name: "tokens", Usage: "prompt tokens and maximum output tokens: `PROMPT,OUTPUT`"},
			&cli.StringFlag{Name: "items", Usage: "item `counts` of the stages: N,..."},
			&cli.DurationFlag{Name: "left", DefaultText: "the timeout of the route", Usage: "`time` until the caller gives up, such as 1500ms"},
			&cli.StringFlag{Name: "id", Usage: "request `id`, on which weighted choices depend", DefaultText: "a fixed one"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: outputTable, Usage: "`format`: table or json"},
		},
		Action: explainRequest,
	}
}

func explainRequest(ctx context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return fmt.Errorf("unexpected argument %q; see %s --help", name, c.FullName())
	}
	output := c.String("output")
	if output != outputTable && output != outputJSON {
		return fmt.Errorf("unknown output format %q: want %s or %s", output, outputTable, outputJSON)
	}
	if c.IsSet("left") && c.Duration("left") <= 0 {
		return fmt.Errorf("the time left %s is not positive", c.Duration("left"))
	}
	address, err := adminAddress(c)
	if err != nil {
		return err
	}
	report, err := fetchExplanation(ctx, address, explainQuery(c))
	if err != nil {
		return err
	}
	if output == outputJSON {
		encoder := json.NewEncoder(c.Root().Writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	return writeExplanation(c.Root().Writer, report)
}

// adminAddress returns the address of the host's admin listener.
func adminAddress(c *cli.Command) (string, error) {
	if address := c.String("admin"); address != "" {
		return address, nil
	}
	if c.String("settings") == "" {
		return "", errors.New("--admin or --settings is needed to find the host")
	}
	s, err := settings.Load(c.String("settings"))
	if err != nil {
		return "", err
	}
	if s.Admin.Listen == "" {
		return "", errors.New("the host has no admin listener: [admin] listen is empty")
	}
	return s.Admin.Listen, nil
}

func explainQuery(c *cli.Command) url.Values {
	query := url.Values{}
	for flag, param := range map[string]string{
		"host": admin.ParamHost, "path": admin.ParamPath, "workspace": admin.ParamWorkspace, "parts": admin.ParamParts,
		"tokens": admin.ParamTokens, "items": admin.ParamItems, "id": admin.ParamID,
	} {
		if c.IsSet(flag) {
			query.Set(param, c.String(flag))
		}
	}
	if c.IsSet("left") {
		query.Set(admin.ParamLeftMs, strconv.FormatFloat(float64(c.Duration("left"))/float64(time.Millisecond), 'f', -1, 64))
	}
	return query
}

func fetchExplanation(ctx context.Context, address string, query url.Values) (*forward.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: admin.PathExplain, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("ask the host: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		var apiErr api.Error
		if err := json.NewDecoder(response.Body).Decode(&apiErr); err != nil || apiErr.Message == "" {
			return nil, fmt.Errorf("%s does not explain requests (status %d)", address, response.StatusCode)
		}
		return nil, errors.New(apiErr.Message)
	}
	report := &forward.Explanation{}
	if err := json.NewDecoder(response.Body).Decode(report); err != nil {
		return nil, fmt.Errorf("decode the report: %w", err)
	}
	return report, nil
}

// writeExplanation writes a report as tables.
func writeExplanation(w io.Writer, e *forward.Explanation) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(out, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	id := string(e.Request)
	if e.FixedID {
		id += " (fixed; weighted choices depend on the id)"
	}
	row("Host", "%s in %s", e.Host, e.DataCentre)
	if e.Suspended {
		row("", "was suspended and waits for a newer state")
	}
	row("Request", "%s", id)
	row("Route", "%s of revision %d, %s: host %q, longest matching prefix %q", e.Route.Name, e.Route.Revision, e.Route.Kind, e.Route.Host, e.Route.PathPrefix)
	service := string(e.Route.Service)
	if e.Route.Services > 1 {
		service += fmt.Sprintf(" (1 of %d, by weights and the request id)", e.Route.Services)
	}
	row("Service", "%s", service)
	row("Workspace", "%s", cmp.Or(string(e.Workspace), "none"))
	row("Rank", "%d (%d at engines; 0 is the most urgent)", e.Rank, e.EngineRank)
	row("Time left", "%d ms", e.LeftMs)
	row("Admission", "%s", describeAdmission(&e.Admission))
	for s := e.Stages; s != nil; s = s.Other {
		writeStages(row, s)
	}
	if f := e.Engines; f != nil {
		row("Engines", "%d responses in the last %d ms (newest %d ms old), %d too late for this request from %d engines; refuses: %t", f.Samples, f.WindowMs, f.NewestMs, f.Late, f.LateEngines, f.Refuses)
		row("", "first event in at least %d ms (stages %d, wait %d, reading %d) of %d ms left", f.FirstEventMs, f.PrepareMs, f.WaitMs, f.ReadMs, f.LeftMs)
		if e.PreferredDataCentre != "" {
			row("", "results of the stages are assumed in %s", e.PreferredDataCentre)
		}
	}
	row("Choice", "%s", cmp.Or(string(e.Choice), "none"))
	row("Runner-up", "%s", cmp.Or(string(e.RunnerUp), "none"))
	fmt.Fprintln(out)
	writeCandidates(out, e)
	return out.Flush()
}

func describeAdmission(a *forward.AdmissionReport) string {
	text := string(a.Verdict)
	if a.Kind != "" {
		text += fmt.Sprintf(", %s: %s", a.Kind, a.Reason)
	}
	if a.RetryAfterMs > 0 {
		text += fmt.Sprintf("; retry after %d ms", a.RetryAfterMs)
	}
	return text
}

func writeStages(row func(name, format string, args ...any), s *forward.StageReport) {
	row("Stages", "group %s, scheduled by %s; target in %d ms, deadline in %d ms", cmp.Or(s.Group, "of all upstreams"), s.Scheduler, s.TargetMs, s.LeftMs)
	if s.Accepted != nil {
		text := "accepted"
		if !*s.Accepted {
			text = "refused (" + s.Reason + ")"
		}
		row("", "this host: %s; %d ms on time, %d ms as a late job", text, s.OnTimeMs, s.LateMs)
	}
	for _, f := range s.Forecasts {
		row("", "forecast of group %s, %d ms old: %d ms on time, %d ms as a late job; refuses: %t", f.Group, f.AgeMs, f.OnTimeMs, f.LateMs, f.Refuses)
	}
	if s.Accepted == nil && len(s.Forecasts) == 0 {
		row("", "no forecast is known here")
	}
}

// writeCandidates writes a table of the upstreams, with one column for each term.
func writeCandidates(out io.Writer, e *forward.Explanation) {
	var names []string
	for i := range e.Candidates {
		if len(e.Candidates[i].Terms) > 0 {
			for _, term := range e.Candidates[i].Terms {
				names = append(names, strings.TrimSpace(strings.ToUpper(term.Name)+" "+term.Unit))
			}
			break
		}
	}
	fmt.Fprintln(out, strings.Join(append(append([]string{"UPSTREAM", "DATA CENTRE", "STATE", "RUNNING", "AGE ms (ENTRY/LAST/LOAD/PACE)"}, names...), "COST", "NOTE"), "\t"))
	for i := range e.Candidates {
		c := &e.Candidates[i]
		cells := []string{string(c.Upstream), string(c.DataCentre), string(c.State), strconv.Itoa(c.Running), describeAges(c)}
		for k := range names {
			cell := "-"
			if k < len(c.Terms) {
				cell = formatNumber(c.Terms[k].Value)
			}
			cells = append(cells, cell)
		}
		cost := "-"
		if c.Cost != nil {
			cost = formatNumber(*c.Cost)
		}
		fmt.Fprintln(out, strings.Join(append(cells, cost, describeCandidate(e, c)), "\t"))
	}
}

// describeAges returns the ages of the entry, the last response, the load report and the pace.
func describeAges(c *forward.CandidateReport) string {
	ages := make([]string, 0, 4)
	for _, age := range []*int64{c.EntryAgeMs, c.OutcomeAgeMs, c.LoadAgeMs, c.PaceAgeMs} {
		text := "-"
		if age != nil {
			text = strconv.FormatInt(*age, 10)
		}
		ages = append(ages, text)
	}
	return strings.Join(ages, "/")
}

func describeCandidate(e *forward.Explanation, c *forward.CandidateReport) string {
	var notes []string
	switch {
	case e.Choice != "" && c.Upstream == e.Choice:
		notes = append(notes, "choice")
	case e.RunnerUp != "" && c.Upstream == e.RunnerUp:
		notes = append(notes, "runner-up")
	}
	for _, list := range []struct {
		name      string
		obstacles []forward.Obstacle
	}{{"left out", c.LeftOut}, {"last resort", c.LastResort}} {
		for _, obstacle := range list.obstacles {
			note := list.name + ": " + obstacle.Reason
			if obstacle.LeftMs > 0 {
				note += fmt.Sprintf(" for %d ms", obstacle.LeftMs)
			}
			notes = append(notes, note)
		}
	}
	if c.ColdSlots != nil {
		notes = append(notes, fmt.Sprintf("cold for %d ms, this host may send %d requests in %d ms", c.ColdLeftMs, *c.ColdSlots, c.ColdIntervalMs))
	}
	if c.RateLimit != nil {
		notes = append(notes, fmt.Sprintf("limit %s/s, share of this host %s/s", formatNumber(*c.RateLimit), formatNumber(*c.RateShare)))
	}
	return cmp.Or(strings.Join(notes, "; "), "-")
}

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'g', 4, 64) }
