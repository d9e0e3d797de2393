package config

// Callers is the section that lists the workspaces of callers and their shares.
type Callers struct {
	// AllowUnknown admits callers without a known key, who then share one workspace of weight 1. Default false.
	AllowUnknown bool `json:"allow_unknown,omitempty"`
	// Workspaces lists the groups of callers that share a quota.
	Workspaces []Workspace `json:"workspaces,omitempty"`
}

// Workspace is a group of callers with one key.
type Workspace struct {
	// Name is unique.
	Name string `json:"name"`
	// KeySHA256 is the SHA-256 of the bearer key, in 64 lower-case hexadecimal digits.
	KeySHA256 string `json:"key_sha256"`
	// Weight is the share under overload, relative to other workspaces; 0.01 to 1,000. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// Priority is handed to engines, higher first; 0 to 9. Default 5.
	Priority int `json:"priority,omitempty"`
}
