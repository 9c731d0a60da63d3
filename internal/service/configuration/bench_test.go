package configuration

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/internal/plugin/memory"
	"redwingloft/pkg/api"
)

// targetWorkspaces is the number of workspaces at the target size.
const targetWorkspaces = 5100

// BenchmarkCommit measures a commit that changes one workspace, at the target size.
func BenchmarkCommit(b *testing.B) {
	s := newService(memory.New())
	doc := newDocument(targetWorkspaces)
	_, err := s.Commit(context.Background(), doc, 0, "bench", "")
	assert.NilError(b, err)
	b.ResetTimer()
	for i := range b.N {
		doc.Workspaces[i%targetWorkspaces].Weight = float64(i%1000 + 1)
		_, err := s.Commit(context.Background(), doc, api.Revision(i+1), "bench", "")
		assert.NilError(b, err)
	}
}

// BenchmarkOffer measures the cost of one workspace change for a host that fetches it
// from a peer: time, and the bytes of the manifest and of the parts. The manifest
// lists the 350 hosts of the target size.
func BenchmarkOffer(b *testing.B) {
	ctx := context.Background()
	source, host := newService(memory.New()), newService(memory.New())
	doc := newDocument(targetWorkspaces)
	zipped := 0
	fetch := func(_ context.Context, digest string) ([]byte, error) {
		data, _ := source.Part(digest)
		b.StopTimer()
		zipped += zippedSize(b, data)
		b.StartTimer()
		return data, nil
	}
	members := make([]api.HostID, 350)
	for i := range members {
		members[i] = api.HostID(fmt.Sprintf("host-%08x", uint32(i)*2654435761))
	}
	change := func(i int) (*Manifest, []byte) {
		doc.Workspaces[i%targetWorkspaces].Weight = float64(i%1000 + 1)
		_, err := source.Commit(ctx, doc, api.Revision(i), "bench", "")
		assert.NilError(b, err)
		manifest := *source.Current()
		manifest.Members = members
		encoded, err := json.Marshal(manifest)
		assert.NilError(b, err)
		return &manifest, encoded
	}
	manifest, _ := change(0)
	assert.NilError(b, host.Offer(ctx, manifest, fetch))
	parts := host.Metrics.Counter("configuration.bytes_from_peer")
	parts.Clear()
	manifests := 0
	zipped = 0
	for i := range b.N {
		b.StopTimer()
		manifest, encoded := change(i + 1)
		manifests += len(encoded)
		zipped += zippedSize(b, encoded)
		b.StartTimer()
		assert.NilError(b, host.Offer(ctx, manifest, fetch))
	}
	b.ReportMetric(float64(manifests+int(parts.Count()))/float64(b.N), "bytes/change")
	b.ReportMetric(float64(zipped)/float64(b.N), "gzip_bytes/change")
}

// zippedSize returns the gzip-compressed size of data, as peers send it.
func zippedSize(b *testing.B, data []byte) int {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, err := w.Write(data)
	assert.NilError(b, err)
	assert.NilError(b, w.Close())
	return out.Len()
}
