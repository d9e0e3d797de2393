package config

// Network is the section of the network team: regions, links and limits for requests.
type Network struct {
	// Regions lists the regions with their availability zones. Names are unique.
	Regions []Region `json:"regions,omitempty"`
	// Links lists the connections between regions, each pair once. An absent pair has the defaults of Link.
	Links []Link `json:"links,omitempty"`
	// MaxRequestDeadline is the longest deadline that a caller can set; 1s to 1h. Default 120s. A planned stop waits
	// at least this long.
	MaxRequestDeadline Duration `json:"max_request_deadline,omitempty" default:"120s" min:"1s" max:"1h"`
	// DefaultDeadline applies to a request that sets no deadline; 100ms to MaxRequestDeadline. Default 60s, or
	// MaxRequestDeadline if that is shorter.
	DefaultDeadline Duration `json:"default_deadline,omitempty" min:"100ms" max:"1h"`
	// MaxBodyBytes is the largest request body; 1,024 to 67,108,864. Default 8,388,608.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty" default:"8388608" min:"1024" max:"67108864"`
}

// Region is a region with its availability zones.
type Region struct {
	// Name is unique.
	Name string `json:"name" required:"true" format:"name"`
	// Zones lists the availability zones; at least one, each once within its region.
	Zones []string `json:"zones" required:"true" min:"1" format:"name"`
}

// Link is the connection between two regions, in both directions.
type Link struct {
	// From names one of the two regions.
	From string `json:"from" required:"true" format:"name"`
	// To names the other one.
	To string `json:"to" required:"true" format:"name"`
	// Latency is the one-way latency; 0s to 10s. Default 20ms.
	Latency Duration `json:"latency" default:"20ms" min:"0s" max:"10s"`
	// BytesPerSecond is the bandwidth that the system may use; 1 to 1,000,000,000,000. Default 125,000,000.
	BytesPerSecond int64 `json:"bytes_per_second,omitempty" default:"125000000" min:"1" max:"1000000000000"`
	// CostPerGB is the cost of transferring a gigabyte, in seconds of one engine's work; 0 to 1,000,000. Default 1.
	CostPerGB float64 `json:"cost_per_gb" default:"1" min:"0" max:"1000000"`
}
