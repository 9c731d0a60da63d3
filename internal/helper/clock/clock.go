// Package clock provides a clock that also advances while the machine is suspended, for
// deadlines and lifetimes that other machines observe and that elapse during a suspend.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

var startWall, startBoot = time.Now().Round(0), sinceBoot()

// Now returns the current time. Differences between its values include suspended time and
// are not affected by adjustments of the wall clock.
func Now() time.Time {
	return startWall.Add(sinceBoot() - startBoot)
}

func sinceBoot() time.Duration {
	var spec unix.Timespec
	// The call only fails if the kernel does not support the clock.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec)
	return time.Duration(spec.Nano())
}
