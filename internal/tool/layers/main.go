// Command layers checks that no package imports one of a higher layer. The layers from
// the highest are: command, handlers, services, platform, plug-ins, kernel, data, helpers,
// public.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

// layers lists path prefixes from the lowest layer to the highest.
var layers = []string{
	"redwingloft/pkg/api",
	"redwingloft/pkg",
	"redwingloft/internal/helper",
	"redwingloft/internal/data",
	"redwingloft/internal/kernel",
	"redwingloft/internal/plugin",
	"redwingloft/platform",
	"redwingloft/internal/service",
	"redwingloft/internal/web",
	"redwingloft/cmd",
}

// standinPath is the import path of the stand-in program, which redwingloft must not import.
const standinPath = "redwingloft/standin"

type listedPackage struct {
	ImportPath string
	Imports    []string
}

func main() {
	faults, err := checkImports()
	if err != nil {
		fmt.Fprintln(os.Stderr, "layers:", err)
		os.Exit(1)
	}
	for _, fault := range faults {
		fmt.Println(fault)
	}
	if len(faults) > 0 {
		os.Exit(1)
	}
}

func checkImports() ([]string, error) {
	command := exec.Command("go", "list", "-json=ImportPath,Imports", "./...")
	command.Stderr = os.Stderr
	out, err := command.Output()
	if err != nil {
		return nil, err
	}
	var faults []string
	decoder := json.NewDecoder(strings.NewReader(string(out)))
	for {
		var p listedPackage
		err := decoder.Decode(&p)
		if errors.Is(err, io.EOF) {
			return faults, nil
		}
		if err != nil {
			return nil, err
		}
		faults = append(faults, upwardImports(p)...)
	}
}

// upwardImports returns a message for each import of a higher layer or of the stand-ins.
func upwardImports(p listedPackage) []string {
	own := layerOf(p.ImportPath)
	if own < 0 {
		return nil
	}
	var faults []string
	for _, imported := range p.Imports {
		if layerOf(imported) > own || strings.HasPrefix(imported, standinPath) {
			faults = append(faults, fmt.Sprintf("%s imports %s, which is in a higher layer", p.ImportPath, imported))
		}
	}
	return faults
}

// layerOf returns the index of the lowest layer whose prefix matches path, or -1.
func layerOf(path string) int {
	for i, prefix := range layers {
		if path == prefix || strings.HasPrefix(path, prefix+"/") {
			return i
		}
	}
	return -1
}
