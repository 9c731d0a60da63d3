// Package clock returns times that advance while the machine is suspended, for
// promises to others that do not wait for this machine.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

var startWall, startBoot = time.Now().Round(0), boot()

// Now returns the current time. Differences of its values count suspended time and
// ignore steps of the time of day.
func Now() time.Time {
	return startWall.Add(boot() - startBoot)
}

func boot() time.Duration {
	var spec unix.Timespec
	// The call fails only for clocks that the kernel does not know.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec)
	return time.Duration(spec.Nano())
}
