package edge

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock reads a steady clock that also counts the time in which the machine
// was suspended, so that beliefs age while it stands still.
func bootClock() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// Linux has had this clock since 2.6.39; a wrong age would send by
		// beliefs that are too old.
		panic("no boot-time clock: " + err.Error())
	}
	return time.Duration(at.Nano())
}
