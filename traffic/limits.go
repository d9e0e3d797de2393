package traffic

import "time"

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes  int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
