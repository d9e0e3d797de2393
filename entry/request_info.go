package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"rhubarbpoint/config"
	"rhubarbpoint/memory"
)

// headerDeadline holds the deadline, in milliseconds after the arrival of the request or as a time in RFC 3339.
const headerDeadline = "Request-Deadline"

// requestInfo is what is known of a request before its body is read.
type requestInfo struct {
	id        string
	arrived   time.Time
	deadline  time.Time
	doc       *config.Document
	workspace config.Workspace
	// holding is what the request holds in the account of memory.
	holding *memory.Holding
}

func (s *Server) newRequestInfo(r *http.Request, id string) (*requestInfo, *Error) {
	info := &requestInfo{id: id, arrived: time.Now(), doc: s.opts.Document()}
	if info.doc == nil {
		return nil, notRun(http.StatusServiceUnavailable, codeNoUpstream, "the instance has no configuration yet")
	}
	var found bool
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if info.workspace, found = s.workspace(info.doc, key); !found {
		return nil, notRun(http.StatusUnauthorized, codeUnauthorized, "no workspace has this bearer key")
	}
	var err *Error
	info.deadline, err = requestDeadline(r, info.arrived, &info.doc.Network)
	return info, err
}

func (s *Server) maxDeadline() time.Duration {
	doc := s.opts.Document()
	if doc == nil {
		return defaultMaxDeadline
	}
	return maxDeadline(&doc.Network)
}

func maxDeadline(network *config.Network) time.Duration {
	return orDefault(network.MaxRequestDeadline.D(), defaultMaxDeadline)
}

func requestDeadline(r *http.Request, now time.Time, network *config.Network) (time.Time, *Error) {
	longest := maxDeadline(network)
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return now.Add(min(longest, orDefault(network.DefaultDeadline.D(), defaultDeadline))), nil
	}
	deadline, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis > longest.Milliseconds() {
			return time.Time{}, notRun(http.StatusBadRequest, codeBadDeadline, headerDeadline+
				" must be RFC 3339 or milliseconds, at most "+strconv.FormatInt(longest.Milliseconds(), 10))
		}
		deadline = now.Add(time.Duration(max(millis, 0)) * time.Millisecond)
	}
	switch {
	case !deadline.After(now):
		return time.Time{}, notRun(http.StatusGatewayTimeout, codeDeadlineExceeded, "the deadline had passed on arrival")
	case deadline.Sub(now) > longest:
		return time.Time{}, notRun(http.StatusBadRequest, codeBadDeadline, "the deadline is more than "+
			longest.String()+" ahead")
	}
	return deadline, nil
}

// readBody reads the whole body within the limits on size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, info *requestInfo) ([]byte, *Error) {
	return s.readAll(w, r, orDefault(info.doc.Network.MaxBodyBytes, defaultMaxBodyBytes), time.Now().Add(bodyTimeout), info.holding)
}

func tooLarge(limit int64) *Error {
	return notRun(http.StatusRequestEntityTooLarge, codeBodyTooLarge,
		"the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
}
