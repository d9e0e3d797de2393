// Package authority makes sure that the engines of a region, as listed in the configuration document, get orders from
// one lease holder at a time.
//
// The holder of a region's authority owns the store key authority/<region>, which is attached to a lease. The revision
// of the key's creation is the fencing token of the holder's term. For each engine, the store holds a journal entry
// with the engine's last order and its gate (see Record). Orders do not go to an engine directly but through its gate,
// which is another instance than the holder. The gate sends one order at a time to an engine and refuses fencing tokens
// below the highest registered one. Before it sends an order, it reads from the store that the order's token is still
// that of the region and that the journal has exactly this order outstanding. So a holder that was paused for any
// length of time has no effect when it resumes. A gate is replaced only when it has handed over the engine, or when the
// instance list no longer shows its process.
//
// # Limits
//
// A gate that is itself paused between its check and its write may send an order after the lease of its holder has
// expired. An engine that checks fencing tokens refuses that order once the successor has registered its token there.
// An engine that does not check them may still run it. Even then, the successor sends that engine no order until the
// gate has answered or its process has ended, so the late order never runs at the same time as an order of the
// successor and never takes effect after one.
//
// An order whose connection broke may still be unread in the engine's socket. It counts as not applied when the
// engine's state, read repeatedly over settleTime, shows neither that the order is in progress nor that it was the last
// one. An engine that answers state calls but reads a received order later than that is outside the guarantee, unless
// it checks fencing tokens and another term has begun.
//
// A gate that is missing from the instance list counts as ended only if membership does not see it either. It was in
// the list when it was chosen.
package authority
