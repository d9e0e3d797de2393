package activity

import "time"

// serviceTimeGain is the weight of one measured service time.
const serviceTimeGain = 0.05

// serviceTimes estimates how long replicas of plain services take for a request, without the time for which it waits.
type serviceTimes map[string]time.Duration

// observe records a response time. alone is set if no request waited at the replica. Without any such response, the
// estimate is the least response time.
func (s serviceTimes) observe(service string, took time.Duration, alone bool) {
	mean, known := s[service]
	switch {
	case !known || took < mean && !alone:
		s[service] = took
	case alone:
		s[service] = mean + time.Duration(float64(took-mean)*serviceTimeGain)
	}
}
