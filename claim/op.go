package claim

import (
	"context"

	"rhubarbpoint/peer/peerpb"
)

// op is one record on its way into a slot. Its result is sent once.
type op struct {
	ctx    context.Context
	minute int64
	record *peerpb.ClaimRecord
	result chan opResult
}

type opResult struct {
	standing *peerpb.ClaimRecord
	err      error
}

func newOp(ctx context.Context, id key, record *peerpb.ClaimRecord) *op {
	return &op{ctx: ctx, minute: id.minute(), record: record, result: make(chan opResult, 1)}
}

func (o *op) finish(standing *peerpb.ClaimRecord, err error) { o.result <- opResult{standing, err} }
