package fleet

import (
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/pkg/api"
)

// TestOddDocumentsAreInvalid guards against a document whose stages wait for each other, or whose
// workspaces end a header field.
func TestOddDocumentsAreInvalid(t *testing.T) {
	document := func(workspace string, after ...[]int) *Document {
		route := Route{PathPrefix: "/", Kind: KindStreaming, Services: []WeightedService{{Service: "s"}}}
		for _, dependencies := range after {
			route.Stages = append(route.Stages, Stage{After: dependencies})
		}
		return &Document{Routes: []Route{route}, Workspaces: []Workspace{{Name: api.WorkspaceName(workspace)}}}
	}
	for _, doc := range []*Document{
		document("w", []int{0}), document("w", []int{1}, []int{0}), document("w", []int{2}, []int{0}, []int{1}), document("w", nil, []int{2}, []int{0, 1}),
		document("w", []int{-1}), document("w", []int{1}), document("w\r\nX: y"), document("w\x00"),
	} {
		_, err := Compile(doc)
		assert.Assert(t, err != nil, "%+v", doc)
	}
	for _, doc := range []*Document{document("w x é", nil, []int{0}, []int{0, 1}), document("", []int{1}, nil), document("", []int{1, 2}, []int{2, 2}, nil)} {
		_, err := Compile(doc)
		assert.NilError(t, err)
	}
}

// TestCredentialsWithoutKeys guards against a document that admits every request once the last key
// of its workspaces is removed.
func TestCredentialsWithoutKeys(t *testing.T) {
	for name, example := range map[string]struct {
		workspaces []Workspace
		required   bool
	}{
		"no list of workspaces":    {nil, false},
		"an empty list":            {[]Workspace{}, true},
		"a workspace without keys": {[]Workspace{{Name: "w"}}, true},
		"a workspace with no more keys": {
			[]Workspace{{Name: "w", Keys: []string{}}, {Name: "v", Keys: []string{}}}, true,
		},
		"an empty key": {[]Workspace{{Name: "w", Keys: []string{""}}}, true},
		"a key":        {[]Workspace{{Name: "w", Keys: []string{"k"}}}, true},
	} {
		snapshot, err := Compile(&Document{Workspaces: example.workspaces})
		assert.NilError(t, err)
		assert.Equal(t, snapshot.RequiresCredential(), example.required, name)
		assert.Assert(t, snapshot.Workspace("") == nil, name)
		assert.Assert(t, snapshot.Workspace("other") == nil, name)
	}
}
