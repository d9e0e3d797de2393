package member

import (
	"bytes"
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/internal/gzipbytes"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/topo"
)

// maxDocumentBytes bounds a decompressed document. A configuration in the store has at most topo.MaxValueBytes; a
// snapshot of what an instance knows of 3,000 replicas is larger.
const maxDocumentBytes = 8 * topo.MaxValueBytes

// compressedDocument caches the gzip form of the document that peers last fetched. The document goes to every instance
// with each change, 1,300 times a day, and compresses well. With routes from the platform, the document changes with
// the replicas while its version stays the same, so a match of the version alone is not enough.
type compressedDocument struct {
	version        int64
	document, gzip []byte
}

// ConfigChanged publishes the version in force if it is higher than the one published last. It must be called after
// each change.
func (s *Service) ConfigChanged() {
	version := s.opts.Version()
	s.mu.Lock()
	if version <= s.ownRecord.GetConfigVersion() {
		s.mu.Unlock()
		return
	}
	s.ownRecord.ConfigVersion = version
	s.ownRecord.Seq++
	s.publishOwnRecord(time.Now())
	s.mu.Unlock()
	s.pushAll(s.ctx, &peerpb.Records{}, "", false)
}

// fetchIfNewer starts to fetch the document of a peer whose version is higher than the own one. It does nothing while
// another fetch runs; the next heartbeat states the peer's version again. The peer is given by ID, or by address if its
// ID is not known.
func (s *Service) fetchIfNewer(id, address string, version int64) {
	if version <= s.opts.Version() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fetchInFlight || s.ctx.Err() != nil {
		return
	}
	s.fetchInFlight = true
	s.jobs.run(func() {
		err := s.fetch(id, address)
		s.mu.Lock()
		s.fetchInFlight = false
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
	document, err := decompress(resp.GetConfig())
	if err != nil || document == nil {
		return err
	}
	version := resp.GetConfig().GetVersion()
	if err := s.opts.ApplyDocument(ctx, version, document); err != nil {
		return errors.Wrapf(err, "member: apply fetched configuration version %d", version)
	}
	eventConfigFetch.Log(ctx, s.opts.Logger, slog.String("peer", id+address), slog.Int64("version", version))
	return nil
}

// handleFetch returns the document if its version is higher than the caller's.
func (s *Service) handleFetch(_ context.Context, _ string, req *peerpb.Request) (*peerpb.Response, error) {
	version, document := s.opts.EncodedDocument()
	config := &peerpb.ConfigDocument{Version: version}
	if fetch := req.GetFetchConfig(); version > fetch.GetHaveVersion() {
		if fetch.GetAcceptGzip() {
			config.GzipDocument = s.compress(version, document)
		} else {
			config.Document = document
		}
	}
	return &peerpb.Response{Result: &peerpb.Response_Config{Config: config}}, nil
}

func (s *Service) compress(version int64, document []byte) []byte {
	s.mu.Lock()
	cached := s.compressed
	s.mu.Unlock()
	if cached.version == version && bytes.Equal(cached.document, document) {
		return cached.gzip
	}
	data := gzipbytes.Compress(document)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compressed = compressedDocument{version: version, document: document, gzip: data}
	return data
}

// decompress returns the document, decompressed if necessary, or nil if the peer had no higher version.
func decompress(c *peerpb.ConfigDocument) ([]byte, error) {
	if len(c.GetGzipDocument()) == 0 {
		return c.GetDocument(), nil
	}
	document, err := gzipbytes.Decompress(c.GetGzipDocument(), maxDocumentBytes)
	return document, errors.Wrap(err, "member: decompress document")
}
