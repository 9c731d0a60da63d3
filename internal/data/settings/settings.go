// Package settings reads the settings of a host from an INI file. Each section has its own
// type and load function.
package settings

import (
	"fmt"

	"gopkg.in/ini.v1"
)

// Settings holds the validated settings of a host.
type Settings struct {
	Host     Host
	Caller   Caller
	Peer     Peer
	Operator Operator
	Admin    Admin
	Store    Store
	HostList HostList
	Document Document
	Log      Log
	Trace    Trace
	// Directory, Retry and Cold are only used by the entry command.
	Directory Directory
	Retry     Retry
	Cold      Cold
	Clients   Clients
}

// Load reads and validates the file at path. A FaultsError lists all errors in the file.
func Load(path string) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, path)
	if err != nil {
		return nil, fmt.Errorf("the settings file can't be read: %w", err)
	}
	return readSettings(file)
}

// Parse reads and validates the content of a settings file.
func Parse(data []byte) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, data)
	if err != nil {
		return nil, fmt.Errorf("the settings can't be read: %w", err)
	}
	return readSettings(file)
}

func readSettings(file *ini.File) (*Settings, error) {
	l := &loader{file: file}
	s := l.settings()
	l.reportUnknown()
	if len(l.faults) > 0 {
		return nil, &FaultsError{Faults: l.faults}
	}
	return s, nil
}

func (l *loader) settings() *Settings {
	return &Settings{
		Host:      loadHost(l.section("host")),
		Caller:    loadCaller(l.section("caller")),
		Peer:      loadPeer(l.section("peer")),
		Operator:  loadOperator(l.section("operator")),
		Admin:     loadAdmin(l.section("admin")),
		Store:     loadStore(l.section("store")),
		HostList:  loadHostList(l.section("host_list")),
		Document:  loadDocument(l.section("document")),
		Log:       loadLog(l.section("log")),
		Trace:     loadTrace(l.section("trace")),
		Directory: loadDirectory(l.section("directory")),
		Retry:     loadRetry(l.section("retry")),
		Cold:      loadCold(l.section("cold")),
		Clients:   loadClients(l.section("clients")),
	}
}
