package engine

import (
	"slices"

	"rhubarbpoint/engine"
)

// orderState is the part of the engine's state that orders change. It is guarded by the engine's mutex.
type orderState struct {
	role      engine.Role
	models    []engine.LoadedModel
	adapters  []string
	fence     int64
	lastOrder string
	changing  string // ID of the order in progress, or ""
}

// serves reports whether a model is loaded. An engine that was started without models serves all models.
func (s *orderState) serves(model, version string) bool {
	return len(s.models) == 0 || slices.Contains(s.models, engine.LoadedModel{Name: model, Version: version})
}

func (s *orderState) apply(order *engine.Order) {
	loaded := engine.LoadedModel{Name: order.Model, Version: order.Version}
	switch order.Kind {
	case engine.OrderRole:
		s.role = order.Role
	case engine.OrderLoadModel:
		if !slices.Contains(s.models, loaded) {
			s.models = append(s.models, loaded)
		}
	case engine.OrderLoadAdapter:
		if !slices.Contains(s.adapters, order.Adapter) {
			s.adapters = append(s.adapters, order.Adapter)
		}
	case engine.OrderUnload:
		s.models = slices.DeleteFunc(s.models, func(m engine.LoadedModel) bool { return m == loaded })
		s.adapters = slices.DeleteFunc(s.adapters, func(a string) bool { return order.Adapter != "" && a == order.Adapter })
	}
	s.lastOrder, s.changing = order.ID, ""
}
