package member

import "time"

// peerState is what this instance has told to one peer.
type peerState struct {
	sent   map[key]uint64    // change number of the record that the peer has
	beats  map[string]uint32 // beats that the peer has
	bases  map[string]uint32 // bases of the load records that the peer has, by upstream
	forced map[string]bool   // members whose records the peer asked for
	used   time.Time
	busy   bool // a heartbeat is under way
}

func newPeerState() *peerState {
	return &peerState{sent: make(map[key]uint64), beats: make(map[string]uint32), bases: make(map[string]uint32), forced: make(map[string]bool)}
}
