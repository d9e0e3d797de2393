package config

// Network is the section of the network team: regions, links and limits for requests.
type Network struct {
	// Regions lists the regions with their availability zones.
	Regions []Region `json:"regions"`
	// Links lists the connections between regions. An absent pair has the defaults of Link.
	Links []Link `json:"links,omitempty"`
	// MaxRequestDeadline is the longest deadline that a caller can set; 1s to 1h. Default 120s. A planned stop waits
	// at least this long.
	MaxRequestDeadline Duration `json:"max_request_deadline,omitempty"`
	// DefaultDeadline holds for a request that sets none. Default 60s.
	DefaultDeadline Duration `json:"default_deadline,omitempty"`
	// MaxBodyBytes is the largest request body; 1,024 to 67,108,864. Default 8,388,608.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
}

// Region is one region.
type Region struct {
	Name string `json:"name"`
	// Zones lists the availability zones; at least one.
	Zones []string `json:"zones"`
}

// Link is the connection between two regions, in both directions.
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
	// Latency is the one-way time. Default 20ms.
	Latency Duration `json:"latency,omitempty"`
	// BytesPerSecond is the rate that the system may use. Default 125,000,000.
	BytesPerSecond int64 `json:"bytes_per_second,omitempty"`
	// CostPerGB is the price of a gigabyte, in seconds of one engine's work. Default 1.
	CostPerGB float64 `json:"cost_per_gb,omitempty"`
}
