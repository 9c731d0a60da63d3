package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gopkg.in/ini.v1"
	"gotest.tools/v3/assert"
)

const exampleFile = "../../../app.example.ini"

// TestExampleShowsEveryDefault guards against an example file that omits a key, has a removed
// key, or has a value other than the default.
func TestExampleShowsEveryDefault(t *testing.T) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, exampleFile)
	assert.NilError(t, err)
	l := &loader{file: ini.Empty()}
	l.settings()
	for _, section := range l.sections {
		for key, fallback := range section.defaults {
			shown := file.Section(section.name)
			assert.Check(t, shown.HasKey(key), "[%s] %s is missing", section.name, key)
			assert.Check(t, shown.Key(key).String() == fallback, "[%s] %s is not %q", section.name, key, fallback)
		}
	}
	_, err = Load(exampleFile)
	assert.NilError(t, err)
}

// TestFaultsNameTheKey guards against invalid or unknown settings that are ignored, and against
// errors that don't name the key.
func TestFaultsNameTheKey(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":       {"[host]\nidd = x\n", "[host] idd: unknown key"},
		"unknown section":   {"[hosts]\nid = x\n", "[hosts]: unknown section"},
		"key of no section": {"id = x\n", "unknown section"},
		"bad duration":      {"[host]\ndrain = 10\n", "[host] drain:"},
		"out of range":      {"[store]\nretention = 1m\n", "[store] retention:"},
		"bad address":       {"[caller]\nlisten = localhost\n", "[caller] listen:"},
		"short secret":      {"[peer]\nsecret = abc\n", "[peer] secret:"},
		"half of TLS":       {"[operator]\ntls_key_file = k\n", "[operator] tls_cert_file:"},
		"no endpoint":       {"[store]\nkind = etcd\n", "[store] endpoints:"},
		"no list URL":       {"[host_list]\nkind = http_sd\n", "[host_list] url:"},
		"few descriptors":   {"[host]\ndescriptor_limit = 31\n", "[host] descriptor_limit:"},
		"negative memory":   {"[clients]\nmemory = -1\n", "[clients] memory:"},
		"no stall":          {"[clients]\nstall = 0s\n", "[clients] stall:"},
		"short write stall": {"[clients]\nwrite_stall = 10ms\n", "[clients] write_stall:"},
		"short body":        {"[clients]\nbody_timeout = 10ms\n", "[clients] body_timeout:"},
		"many connections":  {"[clients]\nconnections = 1e9\n", "[clients] connections:"},
		"bad choice":        {"[log]\nlevel = loud\n", "[log] level:"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(c.text))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// TestAllFaultsAtOnce guards against validation that stops at the first error.
func TestAllFaultsAtOnce(t *testing.T) {
	_, err := Parse([]byte("[host]\ndrain = x\nshutdown = y\n[log]\nlevel = z\n"))
	var faults *FaultsError
	assert.Assert(t, errors.As(err, &faults))
	assert.Equal(t, len(faults.Faults), 3)
}

// TestMissingFile guards against a start with default settings after a typo in the file name.
func TestMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "absent.ini"))
	assert.ErrorContains(t, err, "can't be read")
}

func FuzzParse(f *testing.F) {
	data, err := os.ReadFile(exampleFile)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("[host]\nid = `x\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err == nil && s.Caller.Listen == "" {
			t.Fatal("settings without a caller address were accepted")
		}
		if err != nil && strings.TrimSpace(err.Error()) == "" {
			t.Fatal("an error without a message")
		}
	})
}
