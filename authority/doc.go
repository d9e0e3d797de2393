// Package authority gives the engines of a region orders from one holder at a time.
//
// The holder of a region owns the store key authority/<region>, attached to a lease. The revision of the key's creation
// is the fencing number of its term. Orders do not go to an engine directly but through the engine's gate, another
// instance that is named in the engine's journal entry. The gate runs one order at a time for an engine, refuses numbers
// below the highest registered one, and before it sends an order it reads from the store that the order's number is
// still the region's and that the journal has exactly this order outstanding. So a holder that was paused for any length
// of time has no effect when it resumes. A gate is replaced only when it has handed over, or when the instance list no
// longer shows its process.
//
// # Limits
//
// A gate that is itself paused between its check and its write may send an order after the lease of its holder has
// expired. An engine that checks fencing numbers refuses that order once the successor has registered its number there.
// An engine that does not check may still run it. What holds for it nevertheless: the successor sends that engine no
// order until the gate has answered or its process is gone, so the late order never meets an order of the successor and
// never takes effect after one.
//
// An order whose connection broke may still lie unread in the engine's socket. It is taken as not applied after two
// reads of the engine's state, settleTime apart, show neither its change nor its result; an engine that answers state
// calls but reads a received order later than that is outside the guarantee unless it checks fencing numbers and
// another term has begun.
//
// A gate that is missing in a reading of the instance list counts as gone only if membership does not see it either. It
// was in the list when it was chosen.
package authority
