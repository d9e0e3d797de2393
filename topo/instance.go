package topo

// Kind says what an instance in the platform's list runs.
type Kind string

// The kinds of instances.
const (
	KindEntry   Kind = "entry"
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Instance is one row of the platform's list. ID is unique to one process: a replacement has another ID.
type Instance struct {
	ID      string `json:"id"`
	Kind    Kind   `json:"kind"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving,omitempty"`
}
