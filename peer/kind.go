package peer

import "rhubarbpoint/peer/peerpb"

// Kind is a kind of call.
type Kind int

// The kinds of calls.
const (
	KindUnknown Kind = iota
	KindHeartbeat
	KindPush
	KindFetchConfig
	KindClaim
	KindAwaitOutcome
	KindRegisterFence
	KindForwardOrder
	kindCount
)

// KindOf returns the kind of a request.
func KindOf(req *peerpb.Request) Kind {
	switch req.GetCall().(type) {
	case *peerpb.Request_Heartbeat:
		return KindHeartbeat
	case *peerpb.Request_Push:
		return KindPush
	case *peerpb.Request_FetchConfig:
		return KindFetchConfig
	case *peerpb.Request_Claim:
		return KindClaim
	case *peerpb.Request_AwaitOutcome:
		return KindAwaitOutcome
	case *peerpb.Request_RegisterFence:
		return KindRegisterFence
	case *peerpb.Request_ForwardOrder:
		return KindForwardOrder
	}
	return KindUnknown
}
