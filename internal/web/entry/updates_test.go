package entry

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/store"
	"redwingloft/internal/service/directory"
)

func largeUpdate(version store.Version) *directory.Update {
	update := &directory.Update{Version: version, Full: true, AgeMs: 7}
	for i := range 3000 {
		update.Entries = append(update.Entries, store.Entry{
			Key:     fmt.Sprintf("upstreams/i-%08x", i*2654435761),
			Value:   fmt.Appendf(nil, `{"service":"engine","address":"10.1.%d.%d:8080","zone":"a","version":"v1","slots":16,"state":"ready"}`, i/250, i%250),
			Version: store.Version(i),
		})
	}
	return update
}

// TestUpdatesRoundTrip guards against changes that are lost or altered between two hosts, and
// against a host that gets the age that was meant for another one.
func TestUpdatesRoundTrip(t *testing.T) {
	var encoder updateEncoder
	for _, update := range []*directory.Update{
		{Version: 3, AgeMs: -1, Disconnected: true},
		{Version: 4, AgeMs: 12, HeldMs: 34, GraceMs: 56, Events: []store.Event{
			{Entry: store.Entry{Key: "a", Value: []byte{0, 1}, Version: 4, Created: 2}}, {Entry: store.Entry{Key: "b", Version: 4}, Deleted: true},
		}},
		largeUpdate(5),
	} {
		for _, age := range []int64{1, 2} {
			update.AgeMs = age
			data, err := encoder.encode(2, update)
			assert.NilError(t, err)
			decoded, err := decodeUpdate(bytes.NewReader(data))
			assert.NilError(t, err)
			assert.DeepEqual(t, decoded, update)
			_, err = decodeUpdate(bytes.NewReader(data[:len(data)-1]))
			assert.Assert(t, err != nil, "a truncated update was accepted")
		}
	}
}

// TestUpdatesAreEncodedOnce guards against a host that encodes the same changes for each of its
// followers, and against updates that fill its link after the start of many upstreams.
func TestUpdatesAreEncodedOnce(t *testing.T) {
	var encoder updateEncoder
	update := largeUpdate(9)
	data, err := encoder.encode(0, update)
	assert.NilError(t, err)
	// 40 followers behind a link of 20 Mbit/s get their updates within two seconds.
	assert.Assert(t, len(data) <= 20_000_000/8*2/40, "%d bytes", len(data))
	allocated := testing.AllocsPerRun(20, func() {
		_, err := encoder.encode(0, update)
		assert.NilError(t, err)
	})
	assert.Assert(t, allocated < 50, "%g allocations", allocated)
}

func FuzzDecodeUpdate(f *testing.F) {
	var encoder updateEncoder
	data, err := encoder.encode(2, largeUpdate(5))
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte("{}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		update, err := decodeUpdate(bytes.NewReader(data))
		assert.Assert(t, (update == nil) == (err != nil))
	})
}
