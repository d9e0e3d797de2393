package bench

import (
	"math"
	"time"
)

const (
	traceLength = 660 * time.Second
	// shiftPeriod is the time from one shift of the mix to the next.
	shiftPeriod = 150 * time.Second
	// shiftRamp is how long a shift takes.
	shiftRamp = 15 * time.Second
)

// shifting alternates between the two extremes of the mix. Regions shift at different times.
func shifting(region int, at time.Duration) rates {
	at += time.Duration(region) * 50 * time.Second
	phase := at % (2 * shiftPeriod)
	return blend(gradeHeavy, replyHeavy, squareWave(phase.Seconds(), shiftPeriod.Seconds(), shiftRamp.Seconds()))
}

// swinging alternates between two mixes, of which one needs an additional prefill engine and the other an additional
// decode engine, so that no fixed split suits both.
func swinging(region int, at time.Duration) rates {
	const period = 240 * time.Second
	at += time.Duration(region) * 40 * time.Second
	return blend(gradeHeavy, replyOnly, squareWave((at%(2*period)).Seconds(), period.Seconds(), shiftRamp.Seconds()))
}

// squareWave is a wave with a period of 2×half that rises from 0 to 1 at half and falls back at 2×half, each within
// ramp.
func squareWave(at, half, ramp float64) float64 {
	if at < half {
		return 1 - min(1, at/ramp)
	}
	return min(1, (at-half)/ramp)
}

// daily changes the share of prefill work by half over a day, which lasts as long as the trace.
func daily(_ int, at time.Duration) rates {
	share := 0.5 - 0.4*math.Cos(2*math.Pi*at.Seconds()/traceLength.Seconds())
	return blend(gradeHeavy, replyHeavy, share)
}

func steady(int, time.Duration) rates { return evenMix }

// bursting adds bursts of 10 s to a steady mix, alternately of grade and of reply requests.
func bursting(region int, at time.Duration) rates {
	r := rates{grade: 0.8 * evenMix.grade, reply: 0.8 * evenMix.reply}
	at += time.Duration(region) * 7 * time.Second
	if at%(45*time.Second) < 10*time.Second {
		if (at/(45*time.Second))%2 == 0 {
			r.grade *= 2.2
		} else {
			r.reply *= 2.2
		}
	}
	return r
}

// Traces returns the generated traces of a seed.
func Traces(seed uint64) []Trace {
	lagging, lossy, withdrawn := defaultFaults(), defaultFaults(), defaultFaults()
	lagging.ReportLag = 3 * time.Second
	lossy.EventLoss, lossy.EventLag = 0.4, 5*time.Second
	withdrawn.Withdrawn = []Withdrawal{{Engine: 1, From: 180 * time.Second, To: 300 * time.Second}}
	specs := []struct {
		name   string
		load   loadProfile
		faults Faults
	}{
		{"steady", steady, defaultFaults()},
		{"shift", shifting, defaultFaults()},
		{"swing", swinging, defaultFaults()},
		{"day", daily, defaultFaults()},
		{"bursts", bursting, defaultFaults()},
		{"withdrawn", scaled(shifting, 0.8), withdrawn},
		{"lag", shifting, lagging},
		{"loss", shifting, lossy},
	}
	traces := make([]Trace, len(specs))
	for i, s := range specs {
		traces[i] = Trace{
			Name: s.name, Length: traceLength, Faults: s.faults,
			Requests: newGenerator(seed+uint64(i)<<32).generate(traceLength, s.load),
		}
	}
	return traces
}

// scaled returns a load profile multiplied by a factor.
func scaled(load loadProfile, factor float64) loadProfile {
	return func(region int, at time.Duration) rates {
		r := load(region, at)
		return rates{factor * r.grade, factor * r.reply}
	}
}
