package memory

import "time"

// freedMeter measures the bytes that became free in the last second. It is not safe for concurrent use.
type freedMeter struct {
	start         time.Time // of the second that current counts
	current, last int64
}

func (m *freedMeter) add(now time.Time, n int64) {
	m.advance(now)
	m.current += n
}

// perSecond returns the rate over the last second.
func (m *freedMeter) perSecond(now time.Time) float64 {
	m.advance(now)
	return float64(m.current) + float64(m.last)*(1-now.Sub(m.start).Seconds())
}

func (m *freedMeter) advance(now time.Time) {
	switch since := now.Sub(m.start); {
	case since >= 2*time.Second:
		m.start, m.current, m.last = now, 0, 0
	case since >= time.Second:
		m.start, m.current, m.last = m.start.Add(time.Second), 0, m.current
	}
}
