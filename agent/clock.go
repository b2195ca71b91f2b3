package agent

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"hatchproxy/logic"
)

// Clock is an agent's source of time. Now is for ages and timeouts: it is monotonic, and changes of the system time don't affect
// it. Wall is for times of day that are reported to others. The zero value is not ready for use.
type Clock struct {
	startedAt       time.Time
	bootTimeAtStart time.Duration // value of sinceBoot at startedAt
	rate            float64       // speed relative to the system clock; 1 outside of tests
	wallOffset      time.Duration // added to the time of day from the start; 0 outside of tests
	wallJump        time.Duration // added to the time of day after wallJumpAfter; 0 outside of tests
	wallJumpAfter   time.Duration // since startedAt, not scaled by rate
}

// SystemClock returns a clock that follows the system clock.
func SystemClock() *Clock {
	return &Clock{startedAt: time.Now(), bootTimeAtStart: sinceBoot(), rate: 1}
}

// ParseTestClock returns an inaccurate clock for tests. Its text is a list such as "rate=1.05,off=-1h,jump=1h@2s": the clock runs
// 1.05 times as fast as the system clock (0.1 to 10), its time of day is an hour behind from the start, and jumps ahead by an hour
// after 2 s. Parts that are left out are accurate; an empty text gives SystemClock.
func ParseTestClock(text string) (*Clock, error) {
	c := SystemClock()
	if text == "" {
		return c, nil
	}
	for _, setting := range strings.Split(text, ",") {
		key, value, _ := strings.Cut(setting, "=")
		var err error
		switch key {
		case "rate":
			c.rate, err = strconv.ParseFloat(value, 64)
			if err == nil && !(c.rate >= 0.1 && c.rate <= 10) {
				err = fmt.Errorf("%g is not between 0.1 and 10", c.rate)
			}
		case "off":
			c.wallOffset, err = time.ParseDuration(value)
		case "jump":
			jump, delay, _ := strings.Cut(value, "@")
			if c.wallJump, err = time.ParseDuration(jump); err == nil {
				c.wallJumpAfter, err = time.ParseDuration(delay)
			}
		default:
			err = fmt.Errorf("%q is not one of rate, off, jump", key)
		}
		if err != nil {
			return nil, fmt.Errorf("test clock %q: %w", setting, err)
		}
	}
	return c, nil
}

// elapsed returns the time since the start as this clock counts it.
func (c *Clock) elapsed() time.Duration {
	return time.Duration(float64(sinceBoot()-c.bootTimeAtStart) * c.rate)
}

// sinceBoot returns the time since the machine booted, including time in which it was suspended. Go's monotonic clock leaves that
// out, and leases must expire while the machine is suspended.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // available since Linux 2.6.39; leases are not safe without it
	}
	return time.Duration(t.Nano())
}

// Now returns a monotonic time in microseconds. It starts at the Unix time of the clock's creation, and does not follow later changes
// of the system time: it may drift away from the time of day.
func (c *Clock) Now() logic.Micros {
	return logic.Micros(c.startedAt.UnixMicro() + c.elapsed().Microseconds())
}

// Wall returns the time of day in Unix microseconds. A SystemClock follows changes of the system time.
func (c *Clock) Wall() logic.Micros {
	if c.rate == 1 && c.wallOffset == 0 && c.wallJump == 0 {
		return logic.Micros(time.Now().UnixMicro())
	}
	wall := c.startedAt.Add(c.elapsed() + c.wallOffset)
	if c.wallJump != 0 && sinceBoot()-c.bootTimeAtStart >= c.wallJumpAfter {
		wall = wall.Add(c.wallJump)
	}
	return logic.Micros(wall.UnixMicro())
}
