package once

import "time"

// clock measures the monotonic time since its creation.
type clock struct {
	now   func() time.Time
	start time.Time
}

func newClock(now func() time.Time) clock { return clock{now: now, start: now()} }

func (c *clock) elapsed() time.Duration { return c.now().Sub(c.start) }
