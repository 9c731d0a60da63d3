package settings

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// section reads the keys of one INI section. It collects all errors and records the default
// of every supported key, so that unknown keys can be reported.
type section struct {
	name     string
	source   *ini.Section
	defaults map[string]string
	loader   *loader
}

// loader holds the state shared by all sections of a file.
type loader struct {
	file     *ini.File
	faults   []Fault
	sections []*section
}

// Fault is one error in a settings file.
type Fault struct {
	Section string
	Key     string
	Message string
}

// String formats the error as "[section] key: message".
func (f Fault) String() string {
	if f.Key == "" {
		return fmt.Sprintf("[%s]: %s", f.Section, f.Message)
	}
	return fmt.Sprintf("[%s] %s: %s", f.Section, f.Key, f.Message)
}

// FaultsError is returned for a settings file with errors.
type FaultsError struct {
	// Faults holds the errors, at least one.
	Faults []Fault
}

// Error lists all errors.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return "invalid settings: " + strings.Join(lines, "; ")
}

func (l *loader) section(name string) *section {
	s := &section{name: name, source: l.file.Section(name), defaults: map[string]string{}, loader: l}
	l.sections = append(l.sections, s)
	return s
}

func (s *section) faultf(key, format string, args ...any) {
	s.loader.faults = append(s.loader.faults, Fault{s.name, key, fmt.Sprintf(format, args...)})
}

// text returns the value of key, or fallback if the key is absent.
func (s *section) text(key, fallback string) string {
	s.defaults[key] = fallback
	if !s.source.HasKey(key) {
		return fallback
	}
	return strings.TrimSpace(s.source.Key(key).String())
}

func (s *section) oneOf(key, fallback string, allowed ...string) string {
	value := s.text(key, fallback)
	for _, choice := range allowed {
		if value == choice {
			return value
		}
	}
	s.faultf(key, "%q is not one of %s", value, strings.Join(allowed, ", "))
	return fallback
}

// list returns the comma-separated values of key without empty ones.
func (s *section) list(key string) []string {
	var values []string
	for _, value := range strings.Split(s.text(key, ""), ",") {
		if value = strings.TrimSpace(value); value != "" {
			values = append(values, value)
		}
	}
	return values
}

func (s *section) duration(key string, fallback, low, high time.Duration) time.Duration {
	text := s.text(key, fallback.String())
	value, err := parseDuration(text)
	switch {
	case err != nil:
		s.faultf(key, "%q is not a valid duration; examples are 500ms and 3s", text)
	case value < low || value > high:
		s.faultf(key, "%s is not between %s and %s", value, low, high)
	default:
		return value
	}
	return fallback
}

func (s *section) number(key string, fallback, low, high int) int {
	text := s.text(key, strconv.Itoa(fallback))
	value, err := strconv.Atoi(text)
	switch {
	case err != nil:
		s.faultf(key, "%q is not an integer", text)
	case value < low || value > high:
		s.faultf(key, "%d is not between %d and %d", value, low, high)
	default:
		return value
	}
	return fallback
}

// decimal returns a number that may have a fraction or an exponent.
func (s *section) decimal(key string, fallback, low, high float64) float64 {
	text := s.text(key, strconv.FormatFloat(fallback, 'g', -1, 64))
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= low && value <= high) {
		s.faultf(key, "%q is not a number between %.10g and %.10g", text, low, high)
		return fallback
	}
	return value
}

// parseDuration parses a duration like time.ParseDuration, and also a single number with an
// exponent before its unit, as in 1.5e+03ms: templates write large and small numbers so.
func parseDuration(text string) (time.Duration, error) {
	value, err := time.ParseDuration(text)
	if err == nil {
		return value, nil
	}
	digits := strings.TrimRight(text, "nuµmsh")
	number, numberErr := strconv.ParseFloat(digits, 64)
	unit, unitErr := time.ParseDuration("1" + text[len(digits):])
	if numberErr != nil || unitErr != nil {
		return 0, err
	}
	// A product beyond the range of a duration stands for the longest one.
	product := number * float64(unit)
	switch {
	case math.IsNaN(product):
		return 0, err
	case product >= math.MaxInt64:
		return math.MaxInt64, nil
	case product <= math.MinInt64:
		return math.MinInt64, nil
	}
	return time.Duration(product), nil
}

// address returns an "ip:port"; an empty value is allowed if fallback is empty.
func (s *section) address(key, fallback string) string {
	value := s.text(key, fallback)
	if value == "" && fallback == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		s.faultf(key, "%q is not a valid IP address and port", value)
		return fallback
	}
	return value
}

// reportUnknown adds an error for each section and key that no load function reads.
func (l *loader) reportUnknown() {
	declared := map[string]*section{}
	for _, s := range l.sections {
		declared[s.name] = s
	}
	for _, found := range l.file.Sections() {
		name := found.Name()
		if name == ini.DefaultSection {
			name = ""
		}
		s := declared[name]
		if s == nil {
			if len(found.Keys()) > 0 || name != "" {
				l.faults = append(l.faults, Fault{Section: name, Message: "unknown section"})
			}
			continue
		}
		for _, key := range found.KeyStrings() {
			if _, known := s.defaults[key]; !known {
				s.faultf(key, "unknown key")
			}
		}
	}
}
