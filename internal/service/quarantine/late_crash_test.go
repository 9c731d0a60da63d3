package quarantine

import (
	"fmt"
	"testing"
)

// TestPartThatCrashesLateInSmallFleetIsQuarantined guards against a part whose engines crash some events after the
// beginning of a response, in a fleet in which it crashes all engines within two seconds, so that few of its
// requests are first attempts.
func TestPartThatCrashesLateInSmallFleetIsQuarantined(t *testing.T) {
	for _, events := range []int{8, 12, 16, 20, 30} {
		for seed := range uint64(20) {
			playCrashes(seed, 3, 6, events).checkQuarantine(t, fmt.Sprintf("%d events, seed %d", events, seed))
		}
	}
}
