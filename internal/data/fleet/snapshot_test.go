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
