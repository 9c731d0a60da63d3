// Command slopes runs the Go benchmarks and writes their results to one file,
// from which the tables of docs/CAPACITY.md are computed.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"sort"
	"strings"

	"golang.org/x/perf/benchfmt"
)

// Results holds the results of all benchmarks.
type Results struct {
	// Command is the command that repeats the measurement.
	Command string `json:"command"`
	Go      string `json:"go"`
	CPU     string `json:"cpu"`
	// Values is keyed by "package/Benchmark" and by unit, such as "ns/op".
	Values map[string]map[string]float64 `json:"values"`
}

func main() {
	out := flag.String("out", "docs/slopes.json", "file to write")
	flag.Parse()
	if err := run(*out); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run(path string) error {
	args := []string{"test", "-run", "^$", "-bench", ".", "-benchmem", "-benchtime", "300ms", "./internal/...", "./pkg/..."}
	command := exec.Command("go", args...)
	var text bytes.Buffer
	command.Stdout, command.Stderr = io.MultiWriter(&text, os.Stdout), os.Stderr
	if err := command.Run(); err != nil {
		return err
	}
	slopes := &Results{Command: "make bench", Go: runtime.Version(), Values: map[string]map[string]float64{}}
	if err := slopes.read(&text); err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(slopes, "", "  ")
	if err != nil {
		return err
	}
	fmt.Printf("%d benchmarks written to %s\n", len(slopes.Values), path)
	return os.WriteFile(path, append(encoded, '\n'), 0o644)
}

// read parses the output of the benchmarks. For several runs of one benchmark it keeps
// the median.
func (s *Results) read(text io.Reader) error {
	all := map[string]map[string][]float64{}
	reader := benchfmt.NewReader(text, "go test")
	for reader.Scan() {
		result, ok := reader.Result().(*benchfmt.Result)
		if !ok {
			continue // not a benchmark result
		}
		name := benchmarkKey(result)
		if all[name] == nil {
			all[name] = map[string][]float64{}
		}
		for _, value := range result.Values {
			unit, amount := value.Unit, value.Value
			if value.OrigUnit != "" {
				unit, amount = value.OrigUnit, value.OrigValue
			}
			all[name][unit] = append(all[name][unit], amount)
		}
		s.CPU = result.GetConfig("cpu")
	}
	for name, units := range all {
		s.Values[name] = map[string]float64{}
		for unit, values := range units {
			sort.Float64s(values)
			s.Values[name][unit] = values[len(values)/2]
		}
	}
	return reader.Err()
}

// benchmarkKey returns the package path within the module and the benchmark name without
// the GOMAXPROCS suffix.
func benchmarkKey(result *benchfmt.Result) string {
	pkg := strings.TrimPrefix(result.GetConfig("pkg"), "redwingloft/")
	name := string(result.Name)
	if dash := strings.LastIndexByte(name, '-'); dash > 0 {
		name = name[:dash]
	}
	// The reader strips "Benchmark" from the name.
	return pkg + "/Benchmark" + name
}
