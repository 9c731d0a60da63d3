// Command capacity writes docs/CAPACITY.md from the benchmark results and checks that
// every result that the page uses exists.
package main

import (
	_ "embed"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/template"
)

//go:embed capacity.md.tmpl
var page string

func main() {
	slopes := flag.String("slopes", "docs/slopes.json", "results of the Go benchmarks")
	footprint := flag.String("footprint", "docs/footprint.json", "results of 'standin footprint'")
	out := flag.String("out", "docs/CAPACITY.md", "page to write")
	flag.Parse()
	if err := run(*slopes, *footprint, *out); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(slopesPath, footprintPath, out string) error {
	text, err := render(slopesPath, footprintPath)
	if err != nil {
		return err
	}
	return os.WriteFile(out, []byte(text), 0o644)
}

// render returns the page. A missing benchmark result is an error.
func render(slopesPath, footprintPath string) (string, error) {
	m := &model{}
	if err := readJSON(slopesPath, &m.slopes); err != nil {
		return "", err
	}
	if err := readJSON(footprintPath, &m.footprint); err != nil {
		return "", err
	}
	t, err := template.New("page").Parse(page)
	if err != nil {
		return "", err
	}
	var text strings.Builder
	if err := t.Execute(&text, m.figures()); err != nil {
		return "", err
	}
	if len(m.missing) > 0 {
		return "", fmt.Errorf("not measured: %s", strings.Join(m.missing, ", "))
	}
	return text.String(), nil
}

func readJSON(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
