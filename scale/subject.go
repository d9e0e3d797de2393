package scale

// Subject is what one number of replicas of a service applies to.
type Subject struct {
	Zone string
	Kind Kind
}
