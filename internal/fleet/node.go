package fleet

// Node is one started process with its place and addresses.
type Node struct {
	*Process
	ID     string
	Region string
	// Address is the caller listener of an entry instance, or the only listener of a stand-in.
	Address  string
	Peer     string
	Operator string
}
