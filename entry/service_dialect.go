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

// ParseRequest implements relay.Dialect. Callers of plain services are read by the server's own interface.
func (serviceDialect) ParseRequest(*http.Request, time.Time) (*relay.Call, error) {
	return nil, errors.AssertionFailedf("calls of plain services are read by newCall")
}

// AttemptHeader implements relay.Dialect.
func (serviceDialect) AttemptHeader(call *relay.Call, _ *relay.Attempt, _ time.Time) http.Header {
	return call.Header.Clone()
}

// ParseResponse implements relay.Dialect.
func (serviceDialect) ParseResponse(int, http.Header) relay.ResponseInfo {
	return relay.ResponseInfo{Authentic: true}
}

// ParseCacheHandle implements relay.Dialect. Plain services process no prompts.
func (serviceDialect) ParseCacheHandle(*relay.Attempt, []byte) (*relay.CacheHandle, error) {
	return nil, errors.AssertionFailedf("plain services have no KV cache")
}
