package config

// Orders is the section of the order team: the plain HTTP services, which are served beside the models.
type Orders struct {
	// Services lists the plain services. Names are unique.
	Services []Service `json:"services,omitempty"`
}

// Service is one plain HTTP service, reached by callers under /services/NAME/.
type Service struct {
	// Name is the NAME of the path, unique among services.
	Name string `json:"name" required:"true" format:"name"`
	// Routes define which calls exist and which of them may be retried. The first matching route applies; a call that
	// matches none is refused with 404. At least one; each pair of method and path once.
	Routes []Route `json:"routes" required:"true" min:"1"`
	// Upstreams are the replicas of the service; at least one.
	Upstreams []Upstream `json:"upstreams" required:"true" min:"1"`
	// Timeout bounds one attempt at a call; 100ms to 60s. Default 5s.
	Timeout Duration `json:"timeout,omitempty" default:"5s" min:"100ms" max:"60s"`
}

// Route is one kind of call to a service.
type Route struct {
	// Method is an HTTP method in capitals.
	Method string `json:"method" required:"true" format:"method"`
	// Path is a path below the service, starting with "/". A path that ends in "/" matches all paths below it.
	Path string `json:"path" required:"true" format:"path"`
	// Idempotent calls may be retried. All others run at most once and need an Idempotency-Key header.
	Idempotent bool `json:"idempotent,omitempty"`
}

// Upstream is one replica of a plain service.
type Upstream struct {
	// ID is unique over all upstreams and engines.
	ID string `json:"id" required:"true" format:"label"`
	// Address is IP:port, unique over all upstreams and engines.
	Address string `json:"address" required:"true" format:"addrport"`
	// Region names a region of the network section.
	Region string `json:"region" required:"true" format:"name"`
	// Zone names a zone of that region.
	Zone string `json:"zone" required:"true" format:"name"`
}
