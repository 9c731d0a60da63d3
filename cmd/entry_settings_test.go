package cmd

import (
	"os"
	"regexp"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/settings"
	"redwingloft/internal/service/forward"
)

// platformValues returns values for all placeholders of the template.
func platformValues() map[string]string {
	return map[string]string{
		"node": "host-1", "zone": "a", "listen.front": "127.0.0.1:1", "listen.control": "127.0.0.1:2", "seeds": "",
		"ip": "127.0.0.1", "portRange.0": "3", "listen.directory": "127.0.0.1:4", "listen.ready": "127.0.0.1:5",
		"platform.address": "127.0.0.1:6", "bounds.graceS": "8", "limits.memoryMb": "284", "bounds.configMs": "2000",
		"bounds.drainMs": "2000", "bounds.revokeMs": "5000", "bounds.retryRatio": "0.2", "bounds.retrySlack": "54",
		"bounds.retryWindowS": "10", "bounds.evacuateMs": "5000", "bounds.coldExcess": "1.5", "bounds.coldSlack": "5", "limits.maxFds": "4100",
	}
}

// boundKeys maps each bound and limit of the template to the settings key that takes it.
var boundKeys = map[string]string{
	"bounds.graceS": "[host] shutdown", "limits.memoryMb": "[host] memory_limit", "bounds.configMs": "[store] in_force_within",
	"bounds.drainMs": "[store] drained_within", "bounds.revokeMs": "[store] revoked_within", "bounds.retryRatio": "[retry] ratio",
	"bounds.retrySlack": "[retry] slack", "bounds.retryWindowS": "[retry] window",
	"bounds.evacuateMs": "[store] evacuated_within", "bounds.coldExcess": "[cold] excess", "bounds.coldSlack": "[cold] slack",
	"limits.maxFds": "[host] descriptor_limit",
}

// TestEveryBoundTakesEveryForm guards against a host that does not start, or that names no key,
// because the platform states a bound in a form other than the usual one.
func TestEveryBoundTakesEveryForm(t *testing.T) {
	text, err := os.ReadFile("../deploy/entry.ini")
	assert.NilError(t, err)
	names := map[string]bool{}
	for _, match := range regexp.MustCompile(`\{\{#?((?:bounds|limits)\.[a-zA-Z]+)\}\}`).FindAllStringSubmatch(string(text), -1) {
		names[match[1]] = true
	}
	assert.Equal(t, len(names), len(boundKeys))
	for name := range names {
		key := boundKeys[name]
		assert.Assert(t, key != "", "%s has no key", name)
		for _, value := range []string{"0", "1", "35.833333333333336", "0.001", "1e-05", "1e-07", "1.5e+03", "4000.0", "123456789", "1e+300", "-1", "NaN", "true", "false", ""} {
			t.Run(name+"="+value, func(t *testing.T) {
				values := platformValues()
				values[name] = value
				if value == "" {
					delete(values, name)
				}
				_, err := settings.Load(renderSettings(t, values))
				if err != nil {
					assert.ErrorContains(t, err, key)
				}
			})
		}
		for _, value := range []string{"35.833333333333336", "4.5e+01"} {
			t.Run(name+"="+value+" is valid", func(t *testing.T) {
				values := platformValues()
				values[name] = value
				_, err := settings.Load(renderSettings(t, values))
				assert.NilError(t, err)
			})
		}
	}
}

// TestBoundsKeepTheirMeaning guards against a fraction that is cut off or a unit that is lost.
func TestBoundsKeepTheirMeaning(t *testing.T) {
	values := platformValues()
	values["bounds.graceS"], values["limits.memoryMb"], values["bounds.configMs"] = "8.25", "183.5", "3.5e+03"
	values["bounds.drainMs"], values["bounds.retrySlack"], values["bounds.retryRatio"] = "1600.5", "35.833333333333336", "1.25"
	values["bounds.retryWindowS"], values["limits.maxFds"] = "9.7", "4.1e+03"
	s, err := settings.Load(renderSettings(t, values))
	assert.NilError(t, err)
	assert.Equal(t, s.Host.ShutdownTimeout, 8250*time.Millisecond)
	assert.Equal(t, s.Host.MemoryLimit, 183.5)
	assert.Equal(t, s.Host.DescriptorLimit, 4100.0)
	assert.Equal(t, s.Store.MaxAge, 1600500*time.Microsecond)
	assert.Equal(t, s.Retry.Slack, 35.833333333333336)
	assert.Equal(t, s.Retry.Ratio, 1.25)
	assert.Equal(t, s.Retry.Window, 9700*time.Millisecond)
	assert.Equal(t, s.Store.WatchWait, 1200375*time.Microsecond)
}

// TestSharedSlackKeepsItsFraction guards against hosts that each round up their share of a
// fractional slack, and together exceed it.
func TestSharedSlackKeepsItsFraction(t *testing.T) {
	const hosts, slack = 34, 35.833333333333336
	now, allowed := time.Unix(1000, 0), 0
	for range hosts {
		budget := &forward.Budget{Slack: slack, Window: time.Second, Hosts: func() int { return hosts }}
		for budget.Allow("s", 1, now) {
			allowed++
		}
	}
	assert.Assert(t, float64(allowed) <= slack, "%d retries", allowed)
}
