package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/internal/helper/secret"
)

// TestExampleSettingsAreValid guards against an example host or credentials file
// that no longer matches the settings or the document of its deployment.
func TestExampleSettingsAreValid(t *testing.T) {
	for _, deployment := range []string{"greenhand", "blue_mountain"} {
		folder := filepath.Join("..", "deployments", deployment)
		path := filepath.Join(folder, "host.ini")
		var out bytes.Buffer
		root := New()
		root.Writer = &out
		assert.NilError(t, root.Run(t.Context(), []string{"redwingloft", "settings", "check", "--settings", path}), out.String())
		assert.Equal(t, out.String(), path+" is valid\n")
		tokens, err := readCredentials(filepath.Join(folder, "credentials.ini"))
		assert.NilError(t, err)
		doc, err := readDocument(filepath.Join(folder, "document.json"))
		assert.NilError(t, err)
		assert.Equal(t, len(tokens), len(doc.Workspaces))
		for _, workspace := range doc.Workspaces {
			assert.Assert(t, secret.TokenMatches(tokens[workspace.Name], workspace.CredentialHashes[0]), "%s", workspace.Name)
		}
	}
}

// TestCredentialsWithoutTheirSection guards against a replay that sends every
// request without a token because the file lacks its section.
func TestCredentialsWithoutTheirSection(t *testing.T) {
	path := filepath.Join(t.TempDir(), "credentials.ini")
	assert.NilError(t, os.WriteFile(path, []byte("tobago = token\n"), 0o600))
	_, err := readCredentials(path)
	assert.Assert(t, err != nil && strings.Contains(err.Error(), "[credentials]"), "%v", err)
}
