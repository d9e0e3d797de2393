package traffic

import "crypto/sha256"

// WorkspaceKeys is a workspace with the SHA-256 hashes of its keys.
type WorkspaceKeys struct {
	Workspace
	Hashes [][sha256.Size]byte
}
