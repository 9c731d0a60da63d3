package site

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPortsAreGivenOnce guards against two listeners of a site on one port, and
// against a port that an outgoing connection may take before its listener starts.
func TestPortsAreGivenOnce(t *testing.T) {
	p, seen := ports{next: lastPort - 20}, map[string]bool{}
	for range 10 {
		free, err := p.free(5)
		assert.NilError(t, err)
		for _, address := range free {
			assert.Assert(t, !seen[address], address)
			seen[address] = true
			port := netip.MustParseAddrPort(address).Port()
			assert.Assert(t, port >= firstPort && port < lastPort, address)
		}
	}
}
