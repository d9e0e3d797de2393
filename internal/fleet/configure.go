package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/topo"
)

// applyDocument fills the instance list and applies the first configuration document through an operator listener.
func (f *Fleet) applyDocument(ctx context.Context) error {
	if err := f.registerAll(ctx); err != nil {
		return err
	}
	doc := f.Document()
	// The request has the sections only, since the system assigns the version.
	data, err := json.Marshal(map[string]any{
		"orders": doc.Orders, "models": doc.Models, "network": doc.Network, "callers": doc.Callers,
	})
	if err != nil {
		return errors.Wrap(err, "fleet: document")
	}
	var lastErr error
	err = f.poll(func() bool {
		lastErr = f.putDocument(ctx, data)
		return lastErr == nil
	}, "the configuration document was not accepted")
	return errors.CombineErrors(err, lastErr)
}

func (f *Fleet) putDocument(ctx context.Context, data []byte) error {
	url := "http://" + f.Entries[0].Operator + "/v1/config"
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "fleet: document")
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "fleet: document")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
		return errors.Newf("fleet: document: status %d: %s", resp.StatusCode, text)
	}
	return nil
}

func (f *Fleet) registerAll(ctx context.Context) error {
	for _, group := range []struct {
		kind  topo.Kind
		nodes []*Node
	}{{topo.KindEntry, f.Entries}, {topo.KindEngine, f.Engines}, {topo.KindService, f.Services}} {
		for _, n := range group.nodes {
			if err := f.Register(ctx, instanceOf(group.kind, n)); err != nil {
				return err
			}
		}
	}
	return nil
}

func instanceOf(kind topo.Kind, n *Node) topo.Instance {
	address := n.Address
	if kind == topo.KindEntry {
		address = n.Peer
	}
	return topo.Instance{ID: n.ID, Kind: kind, Region: n.Region, Zone: ZoneName(n.Region), Address: address}
}
