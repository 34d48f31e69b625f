package edge

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock reads a monotonic clock that includes the time in which the machine was
// suspended, so that the view ages meanwhile.
func bootClock() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// Linux has this clock since 2.6.39. With a wrong age, requests would be sent
		// by a view that is too old.
		panic("can't read the boot-time clock: " + err.Error())
	}
	return time.Duration(at.Nano())
}
