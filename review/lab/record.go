package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Record is the record.txt of a case.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

// NewRecord creates the record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// Line writes a line with the time since the start in milliseconds.
func (r *Record) Line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8d ms  ", time.Since(r.started).Milliseconds())
	fmt.Fprintf(r.out, format+"\n", values...)
}

// Say writes a line to the record and to the standard output.
func (r *Record) Say(format string, values ...any) {
	r.Line(format, values...)
	fmt.Printf(format+"\n", values...)
}

// Close writes what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// Trouble reports whether the disruption is played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Route is a route of the config.
type Route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"pathPrefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeoutMs"`
	SloMs       int    `json:"sloMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
	Public      bool   `json:"public"`
	Sticky      bool   `json:"sticky"`
	Resumable   bool   `json:"resumable"`
	ItlTargetMs int    `json:"itlTargetMs,omitempty"`
}

// Service is a service of the config.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	MaxConns   int    `json:"maxConns"`
	Protocol   string `json:"protocol"`
}

// Tenant is a tenant of the config.
type Tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
}

// Config is the operator's config.
type Config struct {
	Version  int            `json:"version"`
	Routes   []Route        `json:"routes"`
	Services []Service      `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []Tenant       `json:"tenants"`
}

// Limits are the limits of the small sites.
func Limits() map[string]int {
	return map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// Fill adds tenants with a key each until the config has about size bytes.
func (c *Config) Fill(size int) {
	base, _ := json.Marshal(c)
	left := size - len(base)
	for i := 0; left > 0; i++ {
		tenant := Tenant{Name: fmt.Sprintf("tenant-%05d", i), APIKeys: []string{fmt.Sprintf("key-of-tenant-%05d-for-its-callers-at-all-entry-hosts", i)}}
		data, _ := json.Marshal(tenant)
		left -= len(data) + 1
		c.Tenants = append(c.Tenants, tenant)
	}
}

// Encode returns the config as the operator writes it.
func (c *Config) Encode() []byte {
	data, _ := json.Marshal(c)
	return data
}
