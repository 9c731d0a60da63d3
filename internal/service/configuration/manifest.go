package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/store"
	"redwingloft/pkg/api"
)

// buckets is the number of parts over which the workspaces are spread.
const buckets = 64

// PartName names a part of a document.
type PartName string

// The parts other than those of the workspaces.
const (
	PartSettings  PartName = "settings"
	PartPipelines PartName = "pipelines"
	PartGroups    PartName = "groups"
	PartServices  PartName = "services"
	PartOperators PartName = "operators"
)

// workspacePrefix starts the names of the workspace parts, which end with the bucket in hex.
const workspacePrefix = "workspaces/"

// Manifest describes one accepted configuration.
type Manifest struct {
	Revision api.Revision `json:"revision"`
	// Commit is the random id of the commit, by which a lost reply is settled.
	Commit string    `json:"commit"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// Comment is the operator's reason.
	Comment string `json:"comment,omitempty"`
	// Parts maps each part to its hex SHA-256. A part without content is left out.
	Parts map[PartName]string `json:"parts"`
	// Members are the hosts that were registered at the commit. Entries of the history leave them out.
	Members []api.HostID `json:"members,omitempty"`
}

// ParseManifest decodes and checks a manifest.
func ParseManifest(data []byte) (*Manifest, error) {
	manifest := &Manifest{}
	if err := json.Unmarshal(data, manifest); err != nil {
		return nil, fmt.Errorf("the manifest is not valid: %w", err)
	}
	if err := manifest.check(); err != nil {
		return nil, err
	}
	return manifest, nil
}

// check refuses what no commit writes.
func (m *Manifest) check() error {
	if m.Revision == 0 || m.Commit == "" {
		return fmt.Errorf("the manifest has no revision or no commit id")
	}
	for name, digest := range m.Parts {
		if !name.valid() {
			return fmt.Errorf("the manifest of revision %d names an unknown part %.40q", m.Revision, name)
		}
		if raw, err := hex.DecodeString(digest); err != nil || len(raw) != sha256.Size {
			return fmt.Errorf("part %s of revision %d has no SHA-256", name, m.Revision)
		}
	}
	return nil
}

func (n PartName) valid() bool {
	switch n {
	case PartSettings, PartPipelines, PartGroups, PartServices, PartOperators:
		return true
	}
	bucket, found := strings.CutPrefix(string(n), workspacePrefix)
	if !found || len(bucket) != 2 {
		return false
	}
	raw, err := hex.DecodeString(bucket)
	return err == nil && raw[0] < buckets
}

// bucketOf returns the part that holds a workspace.
func bucketOf(workspace api.WorkspaceName) PartName {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(workspace)) // a hash takes any input
	return PartName(fmt.Sprintf("%s%02x", workspacePrefix, hash.Sum32()%buckets))
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// settingsPart is the content of PartSettings.
type settingsPart struct {
	Format     int              `json:"format"`
	Deployment string           `json:"deployment"`
	Weights    document.Weights `json:"weights"`
	Limits     document.Limits  `json:"limits"`
}

// split encodes a document in parts. Workspaces are sorted by name, so that
// equal documents have equal parts.
func split(doc *document.Document) (names map[PartName]string, parts map[string][]byte, err error) {
	contents := map[PartName]any{
		PartSettings: settingsPart{doc.Format, doc.Deployment, doc.Weights, doc.Limits},
	}
	if len(doc.Pipelines) > 0 {
		contents[PartPipelines] = doc.Pipelines
	}
	if len(doc.Groups) > 0 {
		contents[PartGroups] = doc.Groups
	}
	if len(doc.Services) > 0 {
		contents[PartServices] = doc.Services
	}
	if len(doc.Operators) > 0 {
		contents[PartOperators] = doc.Operators
	}
	for name, workspaces := range spread(doc.Workspaces) {
		contents[name] = workspaces
	}
	names, parts = map[PartName]string{}, map[string][]byte{}
	for name, content := range contents {
		data, err := json.Marshal(content)
		if err != nil {
			return nil, nil, err
		}
		if len(data) > store.MaxValue {
			return nil, nil, fmt.Errorf("part %s has %d bytes; at most %d are allowed", name, len(data), store.MaxValue)
		}
		names[name] = digestOf(data)
		parts[names[name]] = data
	}
	return names, parts, nil
}

func spread(workspaces []document.Workspace) map[PartName][]document.Workspace {
	sorted := slices.Clone(workspaces)
	sortWorkspaces(sorted)
	byPart := map[PartName][]document.Workspace{}
	for _, workspace := range sorted {
		name := bucketOf(workspace.Name)
		byPart[name] = append(byPart[name], workspace)
	}
	return byPart
}

func sortWorkspaces(workspaces []document.Workspace) {
	slices.SortFunc(workspaces, func(a, b document.Workspace) int { return strings.Compare(string(a.Name), string(b.Name)) })
}

// join decodes a document from its parts.
func join(manifest *Manifest, parts map[string][]byte) (*document.Document, error) {
	doc := &document.Document{}
	for name, digest := range manifest.Parts {
		var err error
		switch data := parts[digest]; name {
		case PartSettings:
			var settings settingsPart
			err = json.Unmarshal(data, &settings)
			doc.Format, doc.Deployment = settings.Format, settings.Deployment
			doc.Weights, doc.Limits = settings.Weights, settings.Limits
		case PartPipelines:
			err = json.Unmarshal(data, &doc.Pipelines)
		case PartGroups:
			err = json.Unmarshal(data, &doc.Groups)
		case PartServices:
			err = json.Unmarshal(data, &doc.Services)
		case PartOperators:
			err = json.Unmarshal(data, &doc.Operators)
		default:
			var workspaces []document.Workspace
			err = json.Unmarshal(data, &workspaces)
			doc.Workspaces = append(doc.Workspaces, workspaces...)
		}
		if err != nil {
			return nil, fmt.Errorf("part %s of revision %d is not valid: %w", name, manifest.Revision, err)
		}
	}
	sortWorkspaces(doc.Workspaces)
	return doc, nil
}
