// Package demo replays recorded traces against the example deployments.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/trace"
	"redwingloft/internal/service/replay"
	"redwingloft/pkg/api"
	"redwingloft/standin/load"
	"redwingloft/standin/site"
)

// hostCount is the number of entry hosts of each example deployment.
const hostCount = 6

// Options configure a demonstration.
type Options struct {
	// Binaries is the folder of the programs.
	Binaries string
	// Folder holds one subfolder for each deployment.
	Folder string
	// Deployments are the names of the deployments to run.
	Deployments []string
	Out         io.Writer
}

// Run runs each deployment and returns an error if any outcome differs from the expected one.
func Run(ctx context.Context, options Options) error {
	var errs []error
	for _, name := range options.Deployments {
		if err := runDeployment(ctx, options, name); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", name, err))
		}
	}
	return errors.Join(errs...)
}

// Tokens returns the tokens of the example workspaces by name.
func Tokens(doc *document.Document) map[api.WorkspaceName]string {
	tokens := map[api.WorkspaceName]string{}
	for _, workspace := range doc.Workspaces {
		tokens[workspace.Name] = string(workspace.Name) + "-token-for-local-use-only"
	}
	return tokens
}

// ReadDeployment reads the document and the recorded trace of an example deployment.
func ReadDeployment(folder, name string) (*document.Document, *trace.Trace, error) {
	data, err := os.ReadFile(filepath.Join(folder, name, "document.json"))
	if err != nil {
		return nil, nil, err
	}
	doc, err := document.Parse(data)
	if err != nil {
		return nil, nil, err
	}
	file, err := os.Open(filepath.Join(folder, name, "trace.jsonl"))
	if err != nil {
		return nil, nil, err
	}
	defer file.Close()
	recorded, err := trace.Read(file)
	return doc, recorded, err
}

func runDeployment(ctx context.Context, options Options, name string) error {
	doc, recorded, err := ReadDeployment(options.Folder, name)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "redwingloft-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	fmt.Fprintf(options.Out, "starting %s: %d entry hosts, the key-value service and all upstreams on loopback\n", name, hostCount)
	s, err := site.Start(site.Options{Binaries: options.Binaries, Document: doc, Hosts: hostCount, Folder: folder})
	if err != nil {
		return err
	}
	return errors.Join(replayTrace(ctx, options.Out, s, doc, recorded), s.Stop())
}

func replayTrace(ctx context.Context, out io.Writer, s *site.Site, doc *document.Document, recorded *trace.Trace) error {
	replayOptions := replay.Options{Trace: recorded, Tokens: Tokens(doc)}
	for _, host := range s.Hosts {
		replayOptions.Hosts = append(replayOptions.Hosts, api.Address(host.CallerAddress))
	}
	report, err := replay.Run(ctx, replayOptions)
	if err != nil {
		return err
	}
	if err := report.Write(out); err != nil {
		return err
	}
	violations, err := load.Audit(s.ControlAddress, doc, report.Orders)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "orders audited against the upstreams: %d, violations: %d\n\n", len(report.Orders), len(violations))
	for _, violation := range violations {
		fmt.Fprintln(out, "  "+violation)
	}
	if len(violations) > 0 || len(report.Mismatches) > 0 {
		return fmt.Errorf("%d outcomes differ from the expected ones, %d order violations", len(report.Mismatches), len(violations))
	}
	return nil
}
