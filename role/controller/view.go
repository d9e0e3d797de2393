package controller

import (
	"time"

	"rhubarbpoint/role"
)

// Engine is what the controller knows of one engine of its region.
type Engine struct {
	role.Engine
	// Reported is the time of the load report.
	Reported time.Time
	// Empty says that the report shows no running and no waiting request and that this instance has none in flight.
	Empty bool
	// Models are the loaded models as name@version, Want the ones that the configuration asks for.
	Models []string
	Want   []string
}

// View is the state of the region at one time.
type View struct {
	Engines      []Engine
	UnmetPrefill float64
	UnmetDecode  float64
}
