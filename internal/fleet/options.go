package fleet

import "time"

// Options say what to start.
type Options struct {
	// Bin is the folder of the programs rhubarbpoint and standin.
	Bin string
	// Dir takes settings and logs.
	Dir string
	// Regions, EntriesPerRegion, EnginesPerRegion and ServicesPerRegion are the numbers of processes.
	Regions           int
	EntriesPerRegion  int
	EnginesPerRegion  int
	ServicesPerRegion int
	// ListLag is how far the instance list lags behind.
	ListLag time.Duration
	// DrainDelay is how long a stopping entry instance goes on accepting.
	DrainDelay time.Duration
	// EngineArgs are further arguments of each engine stand-in.
	EngineArgs []string
	// RoutesFromPlatform makes the entry instances take routes and replicas from the platform's store, where the caller
	// puts them. No engines and services are started then, and Start does not wait until the instances are ready.
	RoutesFromPlatform bool
	// Link returns the address at which an entry instance finds the platform or a peer, in place of its own address. It is
	// called at each start of an instance; nil means the address itself.
	Link func(from, to, address string) (string, error)
	// AutomaticRoles lets the system change the roles of engines.
	AutomaticRoles bool
}

// DefaultOptions returns the size at which each user runs the system today.
func DefaultOptions(bin, dir string) Options {
	return Options{
		Bin: bin, Dir: dir,
		Regions: 3, EntriesPerRegion: 3, EnginesPerRegion: 3, ServicesPerRegion: 1,
		ListLag: 2 * time.Second, DrainDelay: 2 * time.Second,
		AutomaticRoles: true,
		EngineArgs:     []string{"-models", ModelName + "@" + ModelVersion, "-prefill-rate", "80000", "-step", "10ms"},
	}
}
