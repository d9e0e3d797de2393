package member

import "time"

// peerState is what this instance knows of the records that one peer has, and of its heartbeats to that peer.
type peerState struct {
	knownChanges      map[key]uint64    // change numbers of the records that the peer has
	knownBeats        map[string]uint32 // beats that the peer has
	knownBases        map[string]uint32 // base hashes of the load records that the peer has, by upstream
	requested         map[string]bool   // IDs of members whose records the peer requested
	lastUsed          time.Time
	heartbeatInFlight bool
}

func newPeerState() *peerState {
	return &peerState{
		knownChanges: make(map[key]uint64), knownBeats: make(map[string]uint32),
		knownBases: make(map[string]uint32), requested: make(map[string]bool),
	}
}
