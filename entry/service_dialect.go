package entry

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/relay"
)

// serviceDialect is the dialect of plain services of the configuration document: header fields are forwarded as they
// are, and every complete response counts as authentic.
type serviceDialect struct{}

var _ relay.Dialect = serviceDialect{}

// ParseRequest implements relay.Dialect. It is not used: the server parses requests to plain services itself.
func (serviceDialect) ParseRequest(*http.Request, time.Time) (*relay.Call, error) {
	return nil, errors.AssertionFailedf("requests to plain services are parsed by newRequestInfo")
}

// AttemptHeader implements relay.Dialect.
func (serviceDialect) AttemptHeader(call *relay.Call, _ *relay.Attempt, _ time.Time) http.Header {
	return call.Header.Clone()
}

// PeerHeader implements relay.Dialect. It is not used: requests to plain services are not forwarded.
func (serviceDialect) PeerHeader(http.Header, time.Time, time.Time) http.Header { return nil }

// ParseResponse implements relay.Dialect.
func (serviceDialect) ParseResponse(int, http.Header) relay.ResponseInfo {
	return relay.ResponseInfo{Authentic: true}
}

// ParseCacheHandle implements relay.Dialect. It is not used: plain services process no prompts.
func (serviceDialect) ParseCacheHandle(*relay.Attempt, []byte) (*relay.CacheHandle, error) {
	return nil, errors.AssertionFailedf("plain services have no KV cache")
}
