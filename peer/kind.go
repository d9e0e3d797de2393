package peer

import "rhubarbpoint/peer/peerpb"

// Kind is the kind of a call; each kind has its own handler.
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
	KindWatchStore
	KindPushActivity
	KindFetchActivity
	KindPushOrigins
	KindFindOrigin
	kindCount
)

// KindOf returns the kind of a request, or KindUnknown if the request has no known call.
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
	case *peerpb.Request_WatchStore:
		return KindWatchStore
	case *peerpb.Request_PushActivity:
		return KindPushActivity
	case *peerpb.Request_FetchActivity:
		return KindFetchActivity
	case *peerpb.Request_PushOrigins:
		return KindPushOrigins
	case *peerpb.Request_FindOrigin:
		return KindFindOrigin
	}
	return KindUnknown
}
