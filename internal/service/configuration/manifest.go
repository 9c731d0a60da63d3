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

// workspaceBuckets is the number of parts among which the workspaces are distributed.
const workspaceBuckets = 64

// PartName is the name of a part of a document.
type PartName string

// Names of the parts, except those of the workspaces; see workspacePrefix.
const (
	PartSettings  PartName = "settings"
	PartPipelines PartName = "pipelines"
	PartGroups    PartName = "groups"
	PartServices  PartName = "services"
	PartOperators PartName = "operators"
)

// workspacePrefix is the name prefix of the workspace parts; the bucket number in hex follows.
const workspacePrefix = "workspaces/"

// Manifest describes one committed configuration.
type Manifest struct {
	Revision api.Revision `json:"revision"`
	// Commit is the random id of the commit, used to find out after a lost reply whether it was applied.
	Commit string    `json:"commit"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// Comment is the operator's reason for the change.
	Comment string `json:"comment,omitempty"`
	// Parts maps each part to its hex SHA-256. Empty parts are omitted.
	Parts map[PartName]string `json:"parts"`
	// Members are the hosts that were registered at the commit. History entries omit them.
	Members []api.HostID `json:"members,omitempty"`
}

// ParseManifest decodes and validates a manifest.
func ParseManifest(data []byte) (*Manifest, error) {
	manifest := &Manifest{}
	if err := json.Unmarshal(data, manifest); err != nil {
		return nil, fmt.Errorf("the manifest is not valid: %w", err)
	}
	if err := manifest.validate(); err != nil {
		return nil, err
	}
	return manifest, nil
}

// validate returns an error if the manifest can't have been written by a commit.
func (m *Manifest) validate() error {
	if m.Revision == 0 || m.Commit == "" {
		return fmt.Errorf("the manifest has no revision or no commit id")
	}
	for name, digest := range m.Parts {
		if !name.isKnown() {
			return fmt.Errorf("the manifest of revision %d has an unknown part %.40q", m.Revision, name)
		}
		if raw, err := hex.DecodeString(digest); err != nil || len(raw) != sha256.Size {
			return fmt.Errorf("part %s of revision %d has no valid SHA-256", name, m.Revision)
		}
	}
	return nil
}

func (n PartName) isKnown() bool {
	switch n {
	case PartSettings, PartPipelines, PartGroups, PartServices, PartOperators:
		return true
	}
	bucket, found := strings.CutPrefix(string(n), workspacePrefix)
	if !found || len(bucket) != 2 {
		return false
	}
	raw, err := hex.DecodeString(bucket)
	return err == nil && raw[0] < workspaceBuckets
}

// workspacePart returns the name of the part that holds a workspace.
func workspacePart(workspace api.WorkspaceName) PartName {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(workspace)) // a hash never returns an error
	return PartName(fmt.Sprintf("%s%02x", workspacePrefix, hash.Sum32()%workspaceBuckets))
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// settingsPart is the content of the part PartSettings.
type settingsPart struct {
	Format     int              `json:"format"`
	Deployment string           `json:"deployment"`
	Weights    document.Weights `json:"weights"`
	Limits     document.Limits  `json:"limits"`
}

// encodeParts encodes a document as parts. Workspaces are sorted by name, so that equal
// documents have equal parts. It returns the digest of each part by name, and the
// encoded parts by digest.
func encodeParts(doc *document.Document) (names map[PartName]string, parts map[string][]byte, err error) {
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
	for name, workspaces := range groupByPart(doc.Workspaces) {
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

func groupByPart(workspaces []document.Workspace) map[PartName][]document.Workspace {
	sorted := slices.Clone(workspaces)
	sortWorkspaces(sorted)
	byPart := map[PartName][]document.Workspace{}
	for _, workspace := range sorted {
		name := workspacePart(workspace.Name)
		byPart[name] = append(byPart[name], workspace)
	}
	return byPart
}

func sortWorkspaces(workspaces []document.Workspace) {
	slices.SortFunc(workspaces, func(a, b document.Workspace) int { return strings.Compare(string(a.Name), string(b.Name)) })
}

// decodeParts decodes a document from its parts, which are keyed by digest.
func decodeParts(manifest *Manifest, parts map[string][]byte) (*document.Document, error) {
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
