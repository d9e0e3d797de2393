package claim

import (
	"context"

	"rhubarbpoint/peer/peerpb"
)

// op is the operation of putting one record into a slot. Its result is sent once.
type op struct {
	ctx    context.Context
	minute int64
	record *peerpb.ClaimRecord
	result chan opResult
}

// opResult is the key's current record after an operation, or why the operation failed.
type opResult struct {
	current *peerpb.ClaimRecord
	err     error
}

func newOp(ctx context.Context, id key, record *peerpb.ClaimRecord) *op {
	return &op{ctx: ctx, minute: id.minute(), record: record, result: make(chan opResult, 1)}
}

func (o *op) finish(current *peerpb.ClaimRecord, err error) { o.result <- opResult{current, err} }
