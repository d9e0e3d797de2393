package entry

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/relay"
)

// serviceDialect is how plain services of the configuration document are spoken to: header fields are forwarded as they
// are, and every whole answer counts.
type serviceDialect struct{}

var _ relay.Dialect = serviceDialect{}

// Request implements relay.Dialect. Callers of plain services are read by the server's own interface.
func (serviceDialect) Request(*http.Request, time.Time) (*relay.Call, error) {
	return nil, errors.AssertionFailedf("calls of plain services are read by newCall")
}

// Leg implements relay.Dialect.
func (serviceDialect) Leg(call *relay.Call, _ *relay.Leg, _ time.Time) http.Header {
	return call.Header.Clone()
}

// Reply implements relay.Dialect.
func (serviceDialect) Reply(int, http.Header) relay.Reply { return relay.Reply{Authentic: true} }

// CacheHandle implements relay.Dialect. Plain services process no prompts.
func (serviceDialect) CacheHandle(*relay.Leg, []byte) (*relay.CacheHandle, error) {
	return nil, errors.AssertionFailedf("plain services have no KV cache")
}
