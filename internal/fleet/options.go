package fleet

import "time"

// Options configure a fleet.
type Options struct {
	// Bin is the folder of the programs rhubarbpoint and standin.
	Bin string
	// Dir is the folder for settings and logs.
	Dir string
	// Regions, EntriesPerRegion, EnginesPerRegion and ServicesPerRegion are the numbers of processes.
	Regions           int
	EntriesPerRegion  int
	EnginesPerRegion  int
	ServicesPerRegion int
	// ListLag is the time after which a change of the instance list becomes visible.
	ListLag time.Duration
	// DrainDelay is the time for which a stopping entry instance still accepts requests.
	DrainDelay time.Duration
	// EngineArgs are additional arguments of each engine stand-in.
	EngineArgs []string
	// RoutesFromPlatform makes the entry instances read routes and replicas from the platform's store, into which the
	// user of the fleet writes them. Start then starts no engines or services and does not wait until the instances are
	// ready.
	RoutesFromPlatform bool
	// RevokeWithin is the setting of the same name of the entry instances; 0 leaves it out.
	RevokeWithin time.Duration
	// MemoryMB is the setting of the same name of the entry instances; 0 leaves it out.
	MemoryMB int
	// Link returns the address through which the entry instance from reaches the platform or a peer, such as that of a
	// proxy; to and address are the ID and the address of the target. It is called at each start of an instance. If
	// Link is nil, instances use the address itself.
	Link func(from, to, address string) (string, error)
	// EntryProgram is the path of the program of the entry instances; empty means the one in Bin.
	EntryProgram string
	// Env, if set, returns what the environment of a process has in addition, by the ID of its node.
	Env func(id string) []string
	// AutomaticRoles enables automatic role changes of engines.
	AutomaticRoles bool
}

// DefaultOptions returns the options for a fleet of the size at which each user runs the system today.
func DefaultOptions(bin, dir string) Options {
	return Options{
		Bin: bin, Dir: dir,
		Regions: 3, EntriesPerRegion: 3, EnginesPerRegion: 3, ServicesPerRegion: 1,
		ListLag: 2 * time.Second, DrainDelay: 2 * time.Second,
		AutomaticRoles: true,
		EngineArgs:     []string{"-models", ModelName + "@" + ModelVersion, "-prefill-rate", "80000", "-step", "10ms"},
	}
}
