//go:build !race

package directory

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/store"
)

// TestEvacuationsReachTheFleetInTime guards against a host that knows an evacuation, or the end of one,
// later than MaxAge after its key was written, in fleets of 59 to 350 hosts whose readers are sound,
// stopped, or turned away, and against one that forgets it while the store is down.
func TestEvacuationsReachTheFleetInTime(t *testing.T) {
	faults := map[string]func(*feedNode){
		"sound": func(*feedNode) {}, "stopped": func(n *feedNode) { n.cancel() }, "turned away": func(n *feedNode) { n.turnedAway.Store(true) },
	}
	for name, inject := range faults {
		for _, count := range []int{59, 79, 350} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, count), func(t *testing.T) {
				runFleet(t, count, 3, func(t *testing.T, f *feedFleet) {
					f.write(t, upstreamIn("a", "1", 0), upstreamIn("b", "2", 0))
					time.Sleep(f.maxAge)
					reading, following := f.readers()
					judged := following
					if name == "sound" {
						judged = slices.Concat(reading, following)
					}
					for _, reader := range reading {
						inject(reader)
					}
					ready := func(want string) {
						t.Helper()
						time.Sleep(f.maxAge)
						for _, node := range judged {
							assert.Equal(t, readyIn(node.View()), want, string(node.Self.ID))
						}
					}
					ready("ab")
					f.write(t, evacuation("a", 0).Entry)
					ready("b")
					f.down.Store(true)
					time.Sleep(5 * f.maxAge)
					ready("b")
					f.down.Store(false)
					time.Sleep(f.maxAge)
					f.write(t, evacuation("b", 0).Entry)
					ready("")
					_, err := f.kv.Txn(context.Background(), store.Txn{Deletes: []string{"evacuate/a"}})
					assert.NilError(t, err)
					ready("a")
				})
			})
		}
	}
}
