package document

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestValidateListsAllFaults guards against validation that stops at the first error or reports
// a wrong path.
func TestValidateListsAllFaults(t *testing.T) {
	data := `{"format": 2, "deployment": "Bad Name", "weights": {"attainment": 0, "cost": 0},
	 "limits": {"retry_share": 2},
	 "pipelines": [{"name": "p", "deadline_ms": 0, "versions": [
	   {"name": "v", "stages": [
	     {"name": "r", "kind": "retrieve", "group": "none"},
	     {"name": "r", "kind": "sing", "group": "g"}]},
	   {"name": "v", "stages": []}]}],
	 "groups": [{"name": "g", "kind": "chat", "fencing": "maybe", "upstreams": [
	   {"id": "u", "address": "localhost:1", "data_centre": "d", "slots": 0}]}],
	 "services": [{"name": "s", "group": "g", "calls": [
	   {"name": "c", "method": "FETCH", "path": "x", "deadline_ms": 1}]}],
	 "workspaces": [{"name": "w", "credential_hashes": ["zz"], "weight": -1,
	   "serves": [{"pipeline": "p", "version": "x"}, {"pipeline": "q", "version": "v"}], "services": ["t"]}],
	 "operators": [{"name": "o", "password_hash": "plain", "role": "king"}]}`
	doc, err := Parse([]byte(data))
	assert.NilError(t, err)
	var paths []string
	for _, fault := range doc.Validate() {
		assert.Assert(t, fault.Message != "")
		paths = append(paths, fault.Path)
	}
	assert.DeepEqual(t, paths, []string{
		"format", "deployment", "weights", "limits.retry_share",
		"groups[0].fencing", "groups[0].upstreams[0].address", "groups[0].upstreams[0].slots",
		"pipelines[0].deadline_ms",
		"pipelines[0].versions[0].stages[0].group", "pipelines[0].versions[0].stages[0]",
		"pipelines[0].versions[0].stages[1].name", "pipelines[0].versions[0].stages[1].kind",
		"pipelines[0].versions[1].name", "pipelines[0].versions[1].stages",
		"services[0].group", "services[0].calls[0].method", "services[0].calls[0].path",
		"workspaces[0].credential_hashes[0]", "workspaces[0].weight",
		"workspaces[0].serves[0].version", "workspaces[0].serves[1].pipeline", "workspaces[0].services[0]",
		"operators[0].password_hash", "operators[0].role",
	})
	_, err = Compile(doc, 1)
	var invalid *InvalidError
	assert.Assert(t, errors.As(err, &invalid))
	assert.Equal(t, len(invalid.Faults), len(paths))
}

// TestParseRejectsInvalidInput guards against truncated, malformed or oversized input that is
// accepted as a document.
func TestParseRejectsInvalidInput(t *testing.T) {
	for _, data := range []string{``, `{"format": 1`, `{"formats": 1}`, `{"format": "1"}`, `{} {}`} {
		_, err := Parse([]byte(data))
		assert.Assert(t, err != nil, data)
	}
	_, err := Parse(make([]byte, MaxSize+1))
	assert.ErrorContains(t, err, "at most")
}

func addExampleDocuments(f *testing.F) {
	files, err := filepath.Glob("../../../deployments/*/document.json")
	assert.NilError(f, err)
	assert.Assert(f, len(files) > 0)
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(f, err)
		f.Add(data)
	}
}

// FuzzParse guards against documents that change when they are encoded and parsed again.
func FuzzParse(f *testing.F) {
	addExampleDocuments(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Parse(data)
		if err != nil {
			return
		}
		encoded, err := doc.Encode()
		assert.NilError(t, err)
		reparsed, err := Parse(encoded)
		assert.NilError(t, err)
		assert.Equal(t, len(Diff(doc, reparsed)), 0)
	})
}

// FuzzCompile guards against a valid document whose snapshot refers to a version, group or
// service that does not exist.
func FuzzCompile(f *testing.F) {
	addExampleDocuments(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Parse(data)
		if err != nil {
			return
		}
		faults := doc.Validate()
		snapshot, err := Compile(doc, 1)
		assert.Equal(t, err == nil, len(faults) == 0)
		if err != nil {
			return
		}
		for _, workspace := range snapshot.Workspaces {
			for pipeline, version := range workspace.Versions {
				assert.Assert(t, version != nil, "%s of %s", pipeline, workspace.Name)
				for _, stage := range version.Stages {
					assert.Assert(t, snapshot.Groups[stage.Group] != nil)
				}
			}
			for service := range workspace.AllowedServices {
				assert.Assert(t, snapshot.Services[service] != nil)
			}
		}
	})
}
