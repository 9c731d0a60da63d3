package entry

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"redwingloft/internal/data/store"
	"redwingloft/internal/service/directory"
)

const (
	// maxUpdateBytes limits the changes of the directory, or its whole state, before
	// compression.
	maxUpdateBytes = 64 << 20
	// keptUpdates is the number of encoded updates that are kept. Hosts that follow this one
	// are at the same revision, except for those that have just joined.
	keptUpdates = 4
)

// changesKey identifies the changes of an update: those with the same key are equal.
type changesKey struct {
	after, version store.Version
	full           bool
}

// updateEncoder encodes updates as a line of JSON with the fields that differ between
// requests, followed by the changes as compressed JSON. Many hosts request the same changes
// at the same time, so they are encoded once. The zero value is ready to use.
type updateEncoder struct {
	mu   sync.Mutex
	keys [keptUpdates]changesKey
	data [keptUpdates][]byte
	next int
}

// changes is the part of an update that is the same for all hosts at a revision.
type changes struct {
	Entries []store.Entry `json:"entries,omitempty"`
	Events  []store.Event `json:"events,omitempty"`
}

func (c *updateEncoder) encode(after store.Version, update *directory.Update) ([]byte, error) {
	head := *update
	head.Entries, head.Events = nil, nil
	data, err := json.Marshal(head)
	if err != nil {
		return nil, err
	}
	data = append(data, '\n')
	if len(update.Entries)+len(update.Events) == 0 {
		return data, nil
	}
	compressed, err := c.compress(changesKey{after, update.Version, update.Full}, changes{update.Entries, update.Events})
	return append(data, compressed...), err
}

func (c *updateEncoder) compress(key changesKey, value changes) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, kept := range c.keys {
		if kept == key && c.data[i] != nil {
			return c.data[i], nil
		}
	}
	var out bytes.Buffer
	writer, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(writer).Encode(value); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	c.keys[c.next], c.data[c.next] = key, out.Bytes()
	c.next = (c.next + 1) % keptUpdates
	return out.Bytes(), nil
}

// decodeUpdate decodes the response of another host.
func decodeUpdate(body io.Reader) (*directory.Update, error) {
	reader := bufio.NewReader(io.LimitReader(body, maxUpdateBytes))
	line, err := reader.ReadBytes('\n')
	if err != nil {
		return nil, err
	}
	var update directory.Update
	if err := json.Unmarshal(line, &update); err != nil {
		return nil, err
	}
	if _, err := reader.Peek(1); err == io.EOF {
		return &update, nil
	}
	decompressed, err := gzip.NewReader(reader)
	if err != nil {
		return nil, err
	}
	var value changes
	if err := json.NewDecoder(io.LimitReader(decompressed, maxUpdateBytes)).Decode(&value); err != nil {
		return nil, err
	}
	// The checksum of the compressed data follows its last byte.
	if _, err := io.Copy(io.Discard, decompressed); err != nil {
		return nil, err
	}
	update.Entries, update.Events = value.Entries, value.Events
	return &update, nil
}
