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
	Name string `json:"name" required:"true" format:"label"`
	// KeySHA256 is the SHA-256 of the bearer key, in 64 lower-case hexadecimal digits. It is unique.
	KeySHA256 string `json:"key_sha256" required:"true" format:"sha256"`
	// Weight is the share under overload, relative to other workspaces; 0.01 to 1,000. Default 1.
	Weight float64 `json:"weight,omitempty" default:"1" min:"0.01" max:"1000"`
	// Priority is passed to the engines with each request, which serve higher values first; 0 to 9. Default 5.
	Priority int `json:"priority" default:"5" min:"0" max:"9"`
}
