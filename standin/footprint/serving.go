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

// The rate in requests per second, the length and the seed of the load on serving hosts.
const (
	servingRate     = 60
	servingDuration = 10 * time.Second
	servingSeed     = 1
)

// Serving is the resource usage of a site under load.
type Serving struct {
	Requests int `json:"requests"`
	// Tokens is the number of streamed tokens.
	Tokens int64 `json:"tokens"`
	// CPUPerToken is the CPU time of the hosts per streamed token in microseconds,
	// including all other work for the request.
	CPUPerToken float64 `json:"cpu_us_per_token"`
	// RSS is the mean resident memory of a host after the load in megabytes (2^20 bytes).
	RSS float64 `json:"rss_mb"`
}

func measureServing(ctx context.Context, options Options) (Serving, error) {
	doc, _, err := demo.ReadDeployment(options.Folder, "greenhand")
	if err != nil {
		return Serving{}, err
	}
	folder, err := os.MkdirTemp("", "redwingloft-serving")
	if err != nil {
		return Serving{}, err
	}
	defer os.RemoveAll(folder)
	generated := load.Generate(load.Options{Document: doc, Seed: servingSeed, Rate: servingRate, Duration: servingDuration})
	s, err := site.Start(site.Options{Binaries: options.Binaries, Document: doc, Hosts: 2, Folder: folder})
	if err != nil {
		return Serving{}, err
	}
	replayOptions := replay.Options{Trace: generated, Tokens: demo.Tokens(doc)}
	for _, host := range s.Hosts {
		replayOptions.Hosts = append(replayOptions.Hosts, api.Address(host.CallerAddress))
	}
	serving, err := measureReplay(ctx, s, replayOptions)
	if err == nil {
		fmt.Fprintf(options.Out, "serving: %d requests, %d tokens, %.1f us CPU per token, %.1f MB RSS\n",
			serving.Requests, serving.Tokens, serving.CPUPerToken, serving.RSS)
	}
	return serving, errors.Join(err, s.Stop())
}

func measureReplay(ctx context.Context, s *site.Site, options replay.Options) (Serving, error) {
	before, err := readCounters(s)
	if err != nil {
		return Serving{}, err
	}
	report, err := replay.Run(ctx, options)
	if err != nil {
		return Serving{}, err
	}
	after, err := readCounters(s)
	if err != nil {
		return Serving{}, err
	}
	// Each response has one first token and one gap before every further token.
	tokens := report.FirstToken.Count + report.BetweenTokens.Count
	if tokens == 0 {
		return Serving{}, errors.New("no tokens were streamed")
	}
	serving := Serving{
		Requests: report.Total.Requests, Tokens: tokens,
		CPUPerToken: 1e6 * (after.cpu - before.cpu) / float64(tokens),
	}
	for _, host := range s.Hosts {
		kilobytes, err := residentMemory(host.PID())
		if err != nil {
			return Serving{}, err
		}
		serving.RSS += kilobytes / 1024 / float64(len(s.Hosts))
	}
	return serving, nil
}
