package route

// stepModel predicts the time between two tokens as base + slope × running + chunk × prefilling, where prefilling is
// the share of time in which the engine also processes prompts. It learns the three coefficients from load reports by
// recursive least squares, so that no engine type needs configured constants.
type stepModel struct {
	theta [3]float64    // base, slope, chunk
	cov   [3][3]float64 // covariance of theta, relative to stepNoise
}

const (
	// stepForgetting is the forgetting factor; about the last 200 reports have an effect.
	stepForgetting = 0.995
	// stepNoise is the variance of a reported step in s²: reports average over a second of varying batches.
	stepNoise = 4e-6
	// The initial uncertainty of the coefficients is 30 ms for base and chunk, and 1 ms for the slope.
	stepPriorBase  = 1e-3 / stepNoise
	stepPriorSlope = 1e-6 / stepNoise
	// stepCovarianceLimit bounds the growth of the uncertainty while the load does not vary.
	stepCovarianceLimit = 10 * stepPriorBase
)

// newStepModel returns a model that predicts 90 % of the target for a batch of maxRunning.
func newStepModel(target float64, maxRunning int) *stepModel {
	m := &stepModel{theta: [3]float64{0.4 * target, 0.5 * target / float64(max(maxRunning, 1)), 0}}
	m.cov[0][0], m.cov[1][1], m.cov[2][2] = stepPriorBase, stepPriorSlope, stepPriorBase
	return m
}

func stepFeatures(running, prefilling float64) [3]float64 { return [3]float64{1, running, prefilling} }

// observe learns from one load report. prefilling is the share of time spent on prompts, 0 to 1.
func (m *stepModel) observe(running, prefilling, step float64) {
	if step <= 0 || running < 1 {
		return
	}
	x := stepFeatures(running, prefilling)
	var gain [3]float64
	denominator := stepForgetting
	for i := range x {
		for j := range x {
			gain[i] += m.cov[i][j] * x[j]
		}
		denominator += x[i] * gain[i]
	}
	residual := step - m.raw(x)
	for i := range x {
		m.theta[i] += gain[i] / denominator * residual
	}
	for i := range x {
		for j := range x {
			updated := m.cov[i][j] - gain[i]*gain[j]/denominator
			if i != j || updated/stepForgetting < stepCovarianceLimit {
				updated /= stepForgetting
			}
			m.cov[i][j] = updated
		}
	}
}

// raw returns the prediction without the bounds of predict.
func (m *stepModel) raw(x [3]float64) float64 {
	sum := 0.0
	for i := range x {
		sum += m.theta[i] * x[i]
	}
	return sum
}

// predict returns the expected step in seconds. Negative coefficients count as zero, and the result is at least 0.1 ms.
func (m *stepModel) predict(running, prefilling float64) float64 {
	step := max(m.theta[0], 0) + max(m.theta[1], 0)*running + max(m.theta[2], 0)*prefilling
	return max(step, 1e-4)
}
