package traffic

// Workspace is a customer's unit with its own API keys.
type Workspace struct {
	Name string
	// Priority takes precedence over that of the route; 0 is the highest. It is nil if the workspace has none.
	Priority *int
}
