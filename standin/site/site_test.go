package site

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPortsAreAllocatedOnce guards against a port that is allocated twice within a site, and
// against a port that an outgoing connection may take before its listener starts.
func TestPortsAreAllocatedOnce(t *testing.T) {
	allocator, seen := portAllocator{nextPort: endPort - 20}, map[string]bool{}
	for range 10 {
		addresses, err := allocator.allocate(5)
		assert.NilError(t, err)
		for _, address := range addresses {
			assert.Assert(t, !seen[address], address)
			seen[address] = true
			port := netip.MustParseAddrPort(address).Port()
			assert.Assert(t, port >= firstPort && port < endPort, address)
		}
	}
}
