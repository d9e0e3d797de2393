package fleet

// Node is a process that was started, with its region and addresses.
type Node struct {
	*Process
	ID     string
	Region string
	// Address is the address of an entry instance's caller listener, or that of a stand-in's only listener.
	Address string
	// Peer and Operator are the addresses of the other listeners of an entry instance.
	Peer     string
	Operator string
}
