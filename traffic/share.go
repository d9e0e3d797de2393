package traffic

// Share is the share of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  float64
}
