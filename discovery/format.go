package discovery

import (
	"rhubarbpoint/traffic"
	"rhubarbpoint/upstream"
)

// Format reads the keys by which a platform describes routes and replicas.
type Format struct {
	// TableKey is the key of the routes; ReplicaPrefix begins the key of each replica.
	TableKey      string
	ReplicaPrefix string
	DecodeTable   func(value []byte) (*traffic.Table, error)
	DecodeReplica func(key string, value []byte) (upstream.Replica, error)
	// ReplicaID returns the ID of the replica that a key describes.
	ReplicaID func(key string) string
}
