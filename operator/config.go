package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/config"
	"rhubarbpoint/config/manager"
)

const (
	// editTimeout bounds one edit. It leaves time for several calls of 2 s to a failing store.
	editTimeout = 10 * time.Second
	// maxBodyBytes is more than the largest document that the store can hold.
	maxBodyBytes = 8 << 20
)

// Configuration is the document in force on an instance.
type Configuration struct {
	Version int64 `json:"version"`
	// Document is the document as operators wrote it, or with all defaults if they were requested.
	Document json.RawMessage `json:"document"`
}

// Difference lists the changes from one document to another. To is 0 for a document that is only proposed.
type Difference struct {
	From    int64           `json:"from"`
	To      int64           `json:"to,omitempty"`
	Changes []config.Change `json:"changes"`
}

// Accepted is the response to an accepted edit.
type Accepted struct {
	Edit    string `json:"edit,omitempty"`
	Version int64  `json:"version"`
}

var errNoDocument = &Error{Code: CodeUnavailable, Message: "this instance has no configuration document yet"}

func (s *Server) config(w http.ResponseWriter, r *http.Request) {
	source, doc := s.opts.Manager.RawDocument(), s.opts.Manager.Current()
	if source == nil {
		writeError(w, errNoDocument)
		return
	}
	if r.FormValue("defaults") != "true" {
		writeJSON(w, Configuration{Version: source.Version, Document: source.Encode()})
		return
	}
	data, err := json.Marshal(doc)
	if err != nil {
		writeError(w, translate(err))
		return
	}
	writeJSON(w, Configuration{Version: doc.Version, Document: data})
}

// diff compares the document in force with an earlier one: that of version from, or the previous one.
func (s *Server) diff(w http.ResponseWriter, r *http.Request) {
	now, before := s.opts.Manager.Current(), s.opts.Manager.Previous()
	if now == nil {
		writeError(w, errNoDocument)
		return
	}
	if text := r.FormValue("from"); text != "" {
		version, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			writeError(w, translate(errors.Wrap(err, "from")))
			return
		}
		before = s.opts.Manager.PastVersion(version)
		if version == now.Version {
			before = now
		}
	}
	if before == nil {
		writeError(w, &Error{Code: CodeNotFound, Message: "this instance does not hold the earlier version; it keeps the last 16 that were in force on it"})
		return
	}
	changes := append([]config.Change{}, config.Diff(before, now)...)
	writeJSON(w, Difference{From: before.Version, To: now.Version, Changes: changes})
}

// propose checks a section against the document in force and lists what it would change. It changes nothing.
func (s *Server) propose(w http.ResponseWriter, r *http.Request) {
	source, now := s.opts.Manager.RawDocument(), s.opts.Manager.Current()
	if source == nil {
		source = &config.RawDocument{}
		now, _ = source.Document()
	}
	content, err := readBody(r)
	if err != nil {
		writeError(w, translate(err))
		return
	}
	_, proposed, err := source.Replace(r.URL.Query().Get("section"), content)
	if err != nil {
		writeError(w, translate(err))
		return
	}
	changes := append([]config.Change{}, config.Diff(now, proposed)...)
	writeJSON(w, Difference{From: source.Version, Changes: changes})
}

func (s *Server) edit(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	base, err := strconv.ParseInt(query.Get("base"), 10, 64)
	if err != nil {
		writeError(w, &Error{Code: CodeBadRequest, Message: "base must be the version that the edit started from"})
		return
	}
	since, err := strconv.ParseInt("0"+query.Get("since"), 10, 64)
	if err != nil {
		writeError(w, &Error{Code: CodeBadRequest, Message: "since must be a version"})
		return
	}
	content, err := readBody(r)
	if err != nil {
		writeError(w, translate(err))
		return
	}
	// An edit continues after its client has disconnected, so that its outcome is logged.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), editTimeout)
	defer cancel()
	result, err := s.opts.Manager.Edit(ctx, manager.Edit{
		ID: query.Get("edit"), Since: since, Section: r.PathValue("name"), Base: base, Content: content,
	})
	if err != nil {
		writeError(w, translate(err))
		return
	}
	writeJSON(w, Accepted{Edit: result.ID, Version: result.Version})
}

func (s *Server) seed(w http.ResponseWriter, r *http.Request) {
	content, err := readBody(r)
	if err != nil {
		writeError(w, translate(err))
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), editTimeout)
	defer cancel()
	if err := s.opts.Manager.Seed(ctx, content); err != nil {
		writeError(w, translate(err))
		return
	}
	writeJSON(w, Accepted{Version: 1})
}

func readBody(r *http.Request) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err == nil && len(content) > maxBodyBytes {
		err = errors.Newf("body has more than %d bytes", maxBodyBytes)
	}
	return content, err
}
