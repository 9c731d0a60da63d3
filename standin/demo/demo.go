// Package demo runs the example deployments against their recorded traces.
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

// hosts is the number of entry hosts that each example deployment has.
const hosts = 6

// Options describe a demonstration.
type Options struct {
	// Binaries is the folder of the programs.
	Binaries string
	// Folder holds one folder for each deployment.
	Folder      string
	Deployments []string
	Out         io.Writer
}

// Run runs each deployment and returns an error where a stated outcome did not hold.
func Run(ctx context.Context, options Options) error {
	var all []error
	for _, name := range options.Deployments {
		if err := runOne(ctx, options, name); err != nil {
			all = append(all, fmt.Errorf("%s: %w", name, err))
		}
	}
	return errors.Join(all...)
}

// Tokens returns the credentials of the example workspaces.
func Tokens(doc *document.Document) map[api.WorkspaceName]string {
	tokens := map[api.WorkspaceName]string{}
	for _, workspace := range doc.Workspaces {
		tokens[workspace.Name] = string(workspace.Name) + "-token-for-local-use-only"
	}
	return tokens
}

// Read reads the document and the trace of an example deployment.
func Read(folder, name string) (*document.Document, *trace.Trace, error) {
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

func runOne(ctx context.Context, options Options, name string) error {
	doc, recorded, err := Read(options.Folder, name)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "redwingloft-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	fmt.Fprintf(options.Out, "starting %s: %d entry hosts, a key-value service and the upstreams on loopback\n", name, hosts)
	s, err := site.Start(site.Options{Binaries: options.Binaries, Document: doc, Hosts: hosts, Folder: folder})
	if err != nil {
		return err
	}
	return errors.Join(play(ctx, options.Out, s, doc, recorded), s.Stop())
}

func play(ctx context.Context, out io.Writer, s *site.Site, doc *document.Document, recorded *trace.Trace) error {
	replayed := replay.Options{Trace: recorded, Tokens: Tokens(doc)}
	for _, host := range s.Hosts {
		replayed.Hosts = append(replayed.Hosts, api.Address(host.Caller))
	}
	report, err := replay.Run(ctx, replayed)
	if err != nil {
		return err
	}
	if err := report.Write(out); err != nil {
		return err
	}
	found, err := load.Audit(s.Control, doc, report.Orders)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "orders checked against the upstreams: %d, violations: %d\n\n", len(report.Orders), len(found))
	for _, violation := range found {
		fmt.Fprintln(out, "  "+violation)
	}
	if len(found) > 0 || len(report.Faults) > 0 {
		return fmt.Errorf("%d stated outcomes did not hold and %d orders violate their guarantee", len(report.Faults), len(found))
	}
	return nil
}
