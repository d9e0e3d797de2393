package member

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/peer"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/topo"
)

// maxDocumentBytes is the largest document. The store holds configurations of topo.MaxValueBytes; what an instance knows of
// 3,000 replicas is larger.
const maxDocumentBytes = 8 * topo.MaxValueBytes

// packedDocument is the compressed document last asked for. A document travels to every instance with each change, 1,300
// times a day, and repeats itself much. With routes from the platform it changes with the replicas under one version.
type packedDocument struct {
	version        int64
	document, data []byte
}

// ConfigChanged tells the peers that a higher version is in force here. It is to be called after each change.
func (s *Service) ConfigChanged() {
	version := s.opts.Version()
	s.mu.Lock()
	if version <= s.own.GetConfigVersion() {
		s.mu.Unlock()
		return
	}
	s.own.ConfigVersion = version
	s.own.Seq++
	s.setOwn(time.Now())
	s.mu.Unlock()
	s.pushAll(s.ctx, &peerpb.Records{}, "", false)
}

// compareVersion fetches the document of a peer whose version is higher. One fetch runs at a time; a version that is
// missed meanwhile is seen again with the next heartbeat.
func (s *Service) compareVersion(id, address string, version int64) {
	if version <= s.opts.Version() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fetching || s.ctx.Err() != nil {
		return
	}
	s.fetching = true
	s.jobs.run(func() {
		err := s.fetch(id, address)
		s.mu.Lock()
		s.fetching = false
		s.mu.Unlock()
		if err != nil {
			eventConfigFetchFailed.Log(s.ctx, s.opts.Logger, slog.String("peer", id+address), slog.Any("error", err))
		}
	})
}

func (s *Service) fetch(id, address string) error {
	ctx, cancel := context.WithTimeout(s.ctx, fetchTimeout)
	defer cancel()
	have := s.opts.Version()
	req := &peerpb.Request{Call: &peerpb.Request_FetchConfig{
		FetchConfig: &peerpb.FetchConfig{HaveVersion: have, AcceptGzip: true},
	}}
	s.stats.fetches.Inc(1)
	call := func() (*peerpb.Response, error) { return s.opts.Transport.Call(ctx, id, req) }
	if id == "" {
		call = func() (*peerpb.Response, error) { return s.opts.Transport.CallAddress(ctx, address, req) }
	}
	resp, err := call()
	if err != nil {
		return errors.Wrap(err, "member: fetch configuration")
	}
	document, err := unpack(resp.GetConfig())
	if err != nil || document == nil {
		return err
	}
	version := resp.GetConfig().GetVersion()
	if err := s.opts.ApplyDocument(ctx, version, document); err != nil {
		return errors.Wrap(err, "member: offered configuration")
	}
	eventConfigFetch.Log(ctx, s.opts.Logger, slog.String("peer", id+address), slog.Int64("version", version))
	return nil
}

// handleFetch answers with the document if its version is higher than the caller's.
func (s *Service) handleFetch(_ context.Context, _ string, req *peerpb.Request) (*peerpb.Response, error) {
	version, document := s.opts.EncodedDocument()
	answer := &peerpb.ConfigDocument{Version: version}
	if ask := req.GetFetchConfig(); version > ask.GetHaveVersion() {
		if ask.GetAcceptGzip() {
			packed, err := s.pack(version, document)
			if err != nil {
				return nil, &peer.RemoteError{Code: peer.CodeInternal, Message: err.Error()}
			}
			answer.GzipDocument = packed
		} else {
			answer.Document = document
		}
	}
	return &peerpb.Response{Result: &peerpb.Response_Config{Config: answer}}, nil
}

func (s *Service) pack(version int64, document []byte) ([]byte, error) {
	s.mu.Lock()
	packed := s.packed
	s.mu.Unlock()
	if packed.version == version && bytes.Equal(packed.document, document) {
		return packed.data, nil
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(document); err != nil {
		return nil, errors.Wrap(err, "member: compress document")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "member: compress document")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.packed = packedDocument{version: version, document: document, data: b.Bytes()}
	return b.Bytes(), nil
}

// unpack returns the document, or nil if the peer had no higher version.
func unpack(c *peerpb.ConfigDocument) ([]byte, error) {
	if len(c.GetGzipDocument()) == 0 {
		return c.GetDocument(), nil
	}
	r, err := gzip.NewReader(bytes.NewReader(c.GetGzipDocument()))
	if err != nil {
		return nil, errors.Wrap(err, "member: compressed document")
	}
	document, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "member: compressed document")
	}
	if len(document) > maxDocumentBytes {
		return nil, errors.New("member: document larger than the store holds")
	}
	return document, nil
}
