package footprint

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"redwingloft/internal/service/replay"
	"redwingloft/pkg/api"
	"redwingloft/standin/demo"
	"redwingloft/standin/load"
	"redwingloft/standin/site"
)

// The load of the measurement of a serving host.
const (
	servingRate     = 60
	servingDuration = 10 * time.Second
	servingSeed     = 1
)

// Serving is the cost of serving, as the mean over the hosts of a site.
type Serving struct {
	Requests int `json:"requests"`
	// Tokens are the streamed tokens.
	Tokens int64 `json:"tokens"`
	// CPUPerToken is the processor time of the host for each streamed token in
	// microseconds, all other work of its request included.
	CPUPerToken float64 `json:"cpu_us_per_token"`
	// RSS is the resident memory of a host after the load in megabytes.
	RSS float64 `json:"rss_mb"`
}

func runServing(ctx context.Context, options Options) (Serving, error) {
	doc, _, err := demo.Read(options.Folder, "greenhand")
	if err != nil {
		return Serving{}, err
	}
	folder, err := os.MkdirTemp("", "redwingloft-serving")
	if err != nil {
		return Serving{}, err
	}
	defer os.RemoveAll(folder)
	made := load.Generate(load.Options{Document: doc, Seed: servingSeed, Rate: servingRate, Duration: servingDuration})
	s, err := site.Start(site.Options{Binaries: options.Binaries, Document: doc, Hosts: 2, Folder: folder})
	if err != nil {
		return Serving{}, err
	}
	replayed := replay.Options{Trace: made, Tokens: demo.Tokens(doc)}
	for _, host := range s.Hosts {
		replayed.Hosts = append(replayed.Hosts, api.Address(host.Caller))
	}
	serving, err := serve(ctx, s, replayed)
	if err == nil {
		fmt.Fprintf(options.Out, "serving: %d requests, %d tokens, %.1f us of processor time for each token, %.1f MB\n",
			serving.Requests, serving.Tokens, serving.CPUPerToken, serving.RSS)
	}
	return serving, errors.Join(err, s.Stop())
}

func serve(ctx context.Context, s *site.Site, options replay.Options) (Serving, error) {
	before, err := read(s)
	if err != nil {
		return Serving{}, err
	}
	report, err := replay.Run(ctx, options)
	if err != nil {
		return Serving{}, err
	}
	after, err := read(s)
	if err != nil {
		return Serving{}, err
	}
	// Each answer has one first token and a gap before every other one.
	tokens := report.FirstToken.Count + report.BetweenTokens.Count
	if tokens == 0 {
		return Serving{}, errors.New("no token was streamed")
	}
	serving := Serving{
		Requests: report.Total.Requests, Tokens: tokens,
		CPUPerToken: 1e6 * (after.cpu - before.cpu) / float64(tokens),
	}
	for _, host := range s.Hosts {
		kilobytes, err := resident(host.PID())
		if err != nil {
			return Serving{}, err
		}
		serving.RSS += kilobytes / 1024 / float64(len(s.Hosts))
	}
	return serving, nil
}
