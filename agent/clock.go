package agent

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"hatchproxy/logic"
)

// Clock is what an agent reads the time from. Ages and waits are taken from Now, which no jump of the machine's clock moves;
// Wall is for what is told to others as a time of day. The zero value is not ready for use.
type Clock struct {
	startedAt       time.Time
	bootTimeAtStart time.Duration // what the machine's clock that goes on while it sleeps showed then
	rate            float64       // how fast it runs beside the machine's; 1 but in tests
	wallOffset      time.Duration // how far the time of day is off at the start; 0 but in tests
	wallJump        time.Duration // by how much it jumps, after a while; 0 but in tests
	wallJumpAfter   time.Duration
}

// SystemClock is the machine's clock.
func SystemClock() *Clock {
	return &Clock{startedAt: time.Now(), bootTimeAtStart: sinceBoot(), rate: 1}
}

// ParseTestClock makes one for tests, as "rate=1.05,off=-1h,jump=1h@2s" says: it runs that many times as fast, is off by so much at
// the start, and jumps by so much after a while. What is not named is sound.
func ParseTestClock(text string) (*Clock, error) {
	c := SystemClock()
	if text == "" {
		return c, nil
	}
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		var err error
		switch name {
		case "rate":
			c.rate, err = strconv.ParseFloat(value, 64)
			if err == nil && !(c.rate >= 0.1 && c.rate <= 10) {
				err = fmt.Errorf("%g is not between 0.1 and 10", c.rate)
			}
		case "off":
			c.wallOffset, err = time.ParseDuration(value)
		case "jump":
			by, at, _ := strings.Cut(value, "@")
			if c.wallJump, err = time.ParseDuration(by); err == nil {
				c.wallJumpAfter, err = time.ParseDuration(at)
			}
		default:
			err = fmt.Errorf("%q is none of rate, off, jump", name)
		}
		if err != nil {
			return nil, fmt.Errorf("test clock %q: %w", part, err)
		}
	}
	return c, nil
}

// elapsed is how long it has run by its own count.
func (c *Clock) elapsed() time.Duration {
	return time.Duration(float64(sinceBoot()-c.bootTimeAtStart) * c.rate)
}

// sinceBoot goes on while the machine sleeps, which Go's own does not: a lease runs out meanwhile.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // there since Linux 2.6.39; without it no lease is safe
	}
	return time.Duration(t.Nano())
}

// Now is a time that only grows, in microseconds; it is near Unix time and no time of day.
func (c *Clock) Now() logic.Micros {
	return logic.Micros(c.startedAt.UnixMicro() + c.elapsed().Microseconds())
}

// Wall is the time of day, in Unix microseconds. On a sound clock it follows what the machine's is set to.
func (c *Clock) Wall() logic.Micros {
	if c.rate == 1 && c.wallOffset == 0 && c.wallJump == 0 {
		return logic.Micros(time.Now().UnixMicro())
	}
	at := c.startedAt.Add(c.elapsed() + c.wallOffset)
	if c.wallJump != 0 && sinceBoot()-c.bootTimeAtStart >= c.wallJumpAfter {
		at = at.Add(c.wallJump)
	}
	return logic.Micros(at.UnixMicro())
}
