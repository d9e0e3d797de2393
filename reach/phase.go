package reach

// Phase says whether an instance reaches replicas.
type Phase int

// Phases of an instance.
const (
	// Reaching is the usual phase: new connections to replicas succeed.
	Reaching Phase = iota
	// Doubtful means that connections to several replicas failed and none has succeeded since.
	Doubtful
	// Isolated means that connections to many replicas failed for some time and none succeeded: the links of this instance
	// are the likely cause, not the replicas.
	Isolated
)

// String returns the name of the phase.
func (p Phase) String() string { return [...]string{"reaching", "doubtful", "isolated"}[p] }

// MarshalText implements encoding.TextMarshaler.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }
