package cmd

import (
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/settings"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
)

// TestListenersAreBounded guards against a listener without a bound where a limit of the process is known, and
// against bounds of all listeners and upstreams that exceed the descriptors.
func TestListenersAreBounded(t *testing.T) {
	for name, c := range map[string]struct{ memory, descriptors float64 }{
		"memory only":      {memory: 128},
		"descriptors only": {descriptors: 4100},
		"small":            {memory: 128, descriptors: 256},
		"large":            {memory: 284, descriptors: 4100},
		"neither":          {},
	} {
		t.Run(name, func(t *testing.T) {
			s := &settings.Settings{Host: settings.Host{MemoryLimit: c.memory, DescriptorLimit: c.descriptors}}
			guards := newListenerGuards(s, metric.New(), logging.Discard(), setRetryAfter)
			caller := guards.addCaller()
			guards.addPeer()
			for _, listener := range []string{"directory", "readiness", "admin"} {
				guards.addAuxiliary(listener)
			}
			guaranteed := 0
			for _, g := range guards.list {
				assert.Equal(t, g.MaxConns > 0, name != "neither", g.Name)
				guaranteed += g.Guaranteed
			}
			if c.descriptors > 0 {
				used := 2*caller.MaxConns + int(guards.others.Limit) + guaranteed
				assert.Assert(t, used < int(c.descriptors), "%d descriptors", used)
			}
		})
	}
}
