package scale

// Kind is a kind of replica, by how it is paid for.
type Kind int

// Kinds of replicas.
const (
	// OnDemand replicas have the full price and stay until they are removed.
	OnDemand Kind = iota
	// Preemptible replicas are cheap. The platform may take those of a zone away, all at once.
	Preemptible
)

// String returns the name of the kind.
func (k Kind) String() string { return [...]string{"on-demand", "preemptible"}[k] }
