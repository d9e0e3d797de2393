package entry

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/relay"
)

// serviceDialect is the dialect of plain services of the configuration document: header fields are forwarded as they
// are, and every complete response is taken as the service's own.
type serviceDialect struct{}

var _ relay.Dialect = serviceDialect{}

// Request implements relay.Dialect. It is not used: the server parses requests to plain services itself.
func (serviceDialect) Request(*http.Request, time.Time) (*relay.Call, error) {
	return nil, errors.AssertionFailedf("requests to plain services are parsed by newRequestInfo")
}

// Leg implements relay.Dialect.
func (serviceDialect) Leg(call *relay.Call, _ *relay.Leg, _ time.Time) http.Header {
	return call.Header.Clone()
}

// Reply implements relay.Dialect.
func (serviceDialect) Reply(int, http.Header) relay.Reply { return relay.Reply{Authentic: true} }

// CacheHandle implements relay.Dialect. It is not used: plain services process no prompts.
func (serviceDialect) CacheHandle(*relay.Leg, []byte) (*relay.CacheHandle, error) {
	return nil, errors.AssertionFailedf("plain services have no KV cache")
}
