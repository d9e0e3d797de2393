package route

// stepModel predicts the time between two tokens as base + slope × running + chunk while the engine also processes
// prompts. It learns the three terms from load reports by recursive least squares, so that no engine type needs
// configured constants.
type stepModel struct {
	theta [3]float64
	cov   [3][3]float64
}

const (
	// stepForget is the weight of old reports; about 200 reports have an effect.
	stepForget = 0.995
	// stepNoise is the variance of a reported step in s²: reports average over a second of varying batches.
	stepNoise = 4e-6
	// The initial uncertainty of the terms: 30 ms for the base and the prompts, 1 ms for each running request.
	stepPriorBase  = 1e-3 / stepNoise
	stepPriorSlope = 1e-6 / stepNoise
	// stepCovarianceLimit stops the growth of uncertainty while the load does not vary.
	stepCovarianceLimit = 10 * stepPriorBase
)

// newStepModel starts from a step that reaches the target at maxRunning.
func newStepModel(target float64, maxRunning int) *stepModel {
	m := &stepModel{theta: [3]float64{0.4 * target, 0.5 * target / float64(max(maxRunning, 1)), 0}}
	m.cov[0][0], m.cov[1][1], m.cov[2][2] = stepPriorBase, stepPriorSlope, stepPriorBase
	return m
}

func stepFeatures(running, prefilling float64) [3]float64 { return [3]float64{1, running, prefilling} }

// observe learns from one report. The share of time spent on prompts is 0 to 1.
func (m *stepModel) observe(running, prefilling, step float64) {
	if step <= 0 || running < 1 {
		return
	}
	x := stepFeatures(running, prefilling)
	var gain [3]float64
	denominator := stepForget
	for i := range x {
		for j := range x {
			gain[i] += m.cov[i][j] * x[j]
		}
		denominator += x[i] * gain[i]
	}
	failure := step - m.raw(x)
	for i := range x {
		m.theta[i] += gain[i] / denominator * failure
	}
	for i := range x {
		for j := range x {
			updated := m.cov[i][j] - gain[i]*gain[j]/denominator
			if i != j || updated/stepForget < stepCovarianceLimit {
				updated /= stepForget
			}
			m.cov[i][j] = updated
		}
	}
}

func (m *stepModel) raw(x [3]float64) float64 {
	sum := 0.0
	for i := range x {
		sum += m.theta[i] * x[i]
	}
	return sum
}

// predict returns the expected step in seconds, never below the base of one running request.
func (m *stepModel) predict(running, prefilling float64) float64 {
	step := max(m.theta[0], 0) + max(m.theta[1], 0)*running + max(m.theta[2], 0)*prefilling
	return max(step, 1e-4)
}
