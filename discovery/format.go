package discovery

import (
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// Format decodes the keys and values by which a platform describes routes and replicas.
type Format struct {
	// TableKey is the key of the routes; ReplicaPrefix is the common prefix of the keys of replicas.
	TableKey      string
	ReplicaPrefix string
	DecodeTable   func(value []byte) (*traffic.Table, error)
	DecodeReplica func(key string, value []byte) (upstream.Replica, error)
	// ReplicaID returns the ID of the replica that a key describes.
	ReplicaID func(key string) string
	// PeerValue returns a value as peers may get it, without secrets. It may be nil if no value has any.
	PeerValue func(key string, value []byte) []byte
}
