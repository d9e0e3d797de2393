package entry

import (
	"net/http"
	"strings"

	"github.com/google/uuid"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	// headerWorkspace names the caller's workspace to a plain service. A value that the caller sends is overwritten.
	headerWorkspace = "Caller-Workspace"
)

// strippedFields are the header fields that are not forwarded: those of the connection, and the caller's key.
var strippedFields = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Authorization", "Content-Length", "Accept-Encoding",
	headerDeadline}

// forwardedHeader returns the header for the replica.
func forwardedHeader(header http.Header, info *requestInfo) http.Header {
	out := header.Clone()
	for _, named := range header.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range strippedFields {
		out.Del(name)
	}
	// A Connection field can list Idempotency-Key, but the replica must get it.
	if key := header.Get(headerIdempotencyKey); key != "" {
		out.Set(headerIdempotencyKey, key)
	}
	out.Set(headerWorkspace, info.workspace.Name)
	out.Set("Request-Id", info.id)
	return out
}

// idempotencyKey returns the idempotency key of a non-idempotent request in canonical form.
func idempotencyKey(header http.Header) (string, *Error) {
	values := header.Values(headerIdempotencyKey)
	if len(values) == 0 || values[0] == "" {
		return "", notRun(http.StatusBadRequest, codeIdempotencyKeyMissing, "this call needs an "+headerIdempotencyKey+" header with a UUIDv7")
	}
	key, err := uuid.Parse(values[0])
	if err != nil || len(values) > 1 || len(values[0]) != len(key.String()) || key.Version() != 7 {
		return "", notRun(http.StatusBadRequest, codeIdempotencyKeyInvalid, headerIdempotencyKey+" must be one UUIDv7 in its usual form")
	}
	return key.String(), nil
}
