package stages

// State is the part of the state dump about the stages of replicas.
type State struct {
	// Services are those whose division follows the demand. Their figures are empty on an instance that does not hold the
	// duties.
	Services map[string]ServiceState `json:"services,omitempty"`
}

// ServiceState is the division of a service by demand.
type ServiceState struct {
	Fence int64 `json:"fence"`
	// DemandKnown reports whether the demand has been known long enough. Slots is the sustained number of batch slots
	// taken, TokensPerSecond that of uncached prompt tokens.
	DemandKnown     bool    `json:"demand_known"`
	Slots           float64 `json:"slots"`
	TokensPerSecond float64 `json:"tokens_per_s"`
	AgeMillis       int64   `json:"age_ms"`
	// DecodeShare is the share of replicas that decode by demand, 0 for the default division.
	DecodeShare float64 `json:"decode_share"`
	// Wish is the sign of the change that the demand asks for: 1 for more decode replicas, -1 for fewer.
	Wish int `json:"wish"`
	// Decode is the number of decode replicas listed in each zone, Replicas that of both stages.
	Decode   map[string]int `json:"decode"`
	Replicas map[string]int `json:"replicas"`
}

// state returns the state for operators.
func (d *serviceDivision) state() ServiceState {
	s := ServiceState{
		Fence: d.fence, DemandKnown: d.known, Slots: d.demand.slots, TokensPerSecond: d.demand.tokensPerSecond,
		AgeMillis: d.demand.age.Milliseconds(), DecodeShare: d.division.decodeShare, Wish: d.division.wish,
		Decode: make(map[string]int), Replicas: make(map[string]int),
	}
	for _, z := range d.counts {
		s.Decode[z.zone], s.Replicas[z.zone] = z.decode, z.replicas
	}
	return s
}
