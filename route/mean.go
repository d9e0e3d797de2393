package route

// mean is an exponentially weighted mean. The zero value takes its first sample as it is.
type mean struct {
	value float64
	known bool
}

// meanWeight lets a mean follow a shift of the mix within about twenty samples.
const meanWeight = 0.05

func (m *mean) add(sample float64) {
	if !m.known {
		m.value, m.known = sample, true
		return
	}
	m.value += meanWeight * (sample - m.value)
}

func (m *mean) or(fallback float64) float64 {
	if m.known {
		return m.value
	}
	return fallback
}
