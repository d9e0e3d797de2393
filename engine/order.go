package engine

// OrderKind says what an order changes.
type OrderKind string

// The kinds of orders.
const (
	OrderFence       OrderKind = "fence" // changes only the highest fencing token that the engine has seen
	OrderRole        OrderKind = "role"
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderUnload      OrderKind = "unload"
)

// Order is a request that an engine change its role, model, version or adapter.
type Order struct {
	ID      string    `json:"id"`
	Fence   int64     `json:"fence"`
	Kind    OrderKind `json:"kind"`
	Role    Role      `json:"role,omitempty"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
}

// OrderResult is an engine's response to an order that it has accepted.
type OrderResult struct {
	OrderID string `json:"order_id"`
	Applied bool   `json:"applied"`
}

// State is what an engine reports of itself, for reconciliation. LastOrderID is the ID of the last order that took
// effect.
type State struct {
	EngineID    string        `json:"engine_id"`
	Epoch       string        `json:"epoch"`
	Role        Role          `json:"role"`
	Models      []LoadedModel `json:"models"`
	Adapters    []string      `json:"adapters,omitempty"`
	Fence       int64         `json:"fence"`
	LastOrderID string        `json:"last_order_id,omitempty"`
	// Changing is the ID of an order whose change is not finished.
	Changing string `json:"changing,omitempty"`
}
