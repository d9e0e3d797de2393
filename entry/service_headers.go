package entry

import (
	"net/http"
	"strings"

	"github.com/google/uuid"
)

const (
	headerKey = "Idempotency-Key"
	// headerWorkspace tells a plain service whose call it is. It is always set here, never by the caller.
	headerWorkspace = "Caller-Workspace"
)

// notForwarded are the header fields of a call that end here: those of the connection, and the caller's key.
var notForwarded = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Authorization", "Content-Length", "Accept-Encoding",
	headerDeadline}

// forwarded returns the header fields for the replica.
func forwarded(header http.Header, c *call) http.Header {
	out := header.Clone()
	for _, named := range header.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range notForwarded {
		out.Del(name)
	}
	// A Connection field can name the key, but the replica must see it.
	if key := header.Get(headerKey); key != "" {
		out.Set(headerKey, key)
	}
	out.Set(headerWorkspace, c.workspace.Name)
	out.Set("Request-Id", c.id)
	return out
}

// orderKey returns the idempotency key of a non-idempotent call in its normal form.
func orderKey(header http.Header) (string, *Error) {
	values := header.Values(headerKey)
	if len(values) == 0 || values[0] == "" {
		return "", notRun(http.StatusBadRequest, codeKeyMissing, "this call needs an "+headerKey+" header with a UUIDv7")
	}
	key, err := uuid.Parse(values[0])
	if err != nil || len(values) > 1 || len(values[0]) != len(key.String()) || key.Version() != 7 {
		return "", notRun(http.StatusBadRequest, codeKeyInvalid, headerKey+" must be one UUIDv7 in its usual form")
	}
	return key.String(), nil
}
