package controller

import (
	"time"

	"rhubarbpoint/role"
)

// Engine is the state of one engine of the controller's region.
type Engine struct {
	role.Engine
	// Reported is the time of the load report.
	Reported time.Time
	// Empty is whether the report shows no running and no waiting requests and this instance has none in flight.
	Empty bool
	// Models are the loaded models as name@version, Want those that the configuration asks for.
	Models []string
	Want   []string
}

// View is the state of the region at one time. UnmetPrefill and UnmetDecode are those of role.Input.
type View struct {
	Engines      []Engine
	UnmetPrefill float64
	UnmetDecode  float64
}
