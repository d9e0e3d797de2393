package route

// mean is an exponentially weighted moving average, initialized by its first sample.
type mean struct {
	value float64
	known bool
}

// meanWeight is the weight of a sample: a mean follows a change of the request mix within about twenty samples.
const meanWeight = 0.05

func (m *mean) add(sample float64) {
	if !m.known {
		m.value, m.known = sample, true
		return
	}
	m.value += meanWeight * (sample - m.value)
}

func (m *mean) valueOr(fallback float64) float64 {
	if m.known {
		return m.value
	}
	return fallback
}
