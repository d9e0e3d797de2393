package traffic

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// Workspaces are the workspaces of one version of the routes, found by the hashes of their keys, so that the time of a
// lookup tells nothing about the keys. It is immutable and safe for concurrent use. A nil *Workspaces means that the
// configuration has no workspaces and requests need no key.
type Workspaces struct {
	all       []Workspace
	byKeyHash map[[sha256.Size]byte]int // index in all
}

// NewWorkspaces returns the lookup for a list of workspaces. A key that several workspaces list belongs to the first of
// them. A list without any key is valid: it refuses all keys.
func NewWorkspaces(list []WorkspaceKeys) *Workspaces {
	w := &Workspaces{byKeyHash: make(map[[sha256.Size]byte]int)}
	for _, entry := range list {
		for _, hash := range entry.Hashes {
			if _, taken := w.byKeyHash[hash]; !taken {
				w.byKeyHash[hash] = len(w.all)
			}
		}
		w.all = append(w.all, entry.Workspace)
	}
	return w
}

// Find returns the workspace of a key, or false if none has it.
func (w *Workspaces) Find(key Key) (Workspace, bool) {
	if w == nil || !key.given {
		return Workspace{}, false
	}
	index, found := w.byKeyHash[key.hash]
	if !found {
		return Workspace{}, false
	}
	return w.all[index], true
}

// Named returns the workspace of a name, or false if there is none.
func (w *Workspaces) Named(name string) (Workspace, bool) {
	if w == nil {
		return Workspace{}, false
	}
	i := slices.IndexFunc(w.all, func(w Workspace) bool { return w.Name == name })
	if i < 0 {
		return Workspace{}, false
	}
	return w.all[i], true
}

// Keys returns the workspaces with the sorted hashes of their keys, for package platform, which encodes them.
func (w *Workspaces) Keys() []WorkspaceKeys {
	if w == nil {
		return nil
	}
	list := make([]WorkspaceKeys, len(w.all))
	for i := range w.all {
		list[i].Workspace = w.all[i]
	}
	for hash, i := range w.byKeyHash {
		list[i].Hashes = append(list[i].Hashes, hash)
	}
	for i := range list {
		slices.SortFunc(list[i].Hashes, func(a, b [sha256.Size]byte) int { return bytes.Compare(a[:], b[:]) })
	}
	return list
}

// MarshalJSON returns the workspaces without their keys, for state dumps.
func (w *Workspaces) MarshalJSON() ([]byte, error) { return json.Marshal(w.all) }

// ParseKeyHash parses the hexadecimal form of a hash.
func ParseKeyHash(text string) (hash [sha256.Size]byte, ok bool) {
	n, err := hex.Decode(hash[:], []byte(text[:min(len(text), hex.EncodedLen(sha256.Size))]))
	return hash, err == nil && n == sha256.Size && len(text) == hex.EncodedLen(sha256.Size)
}
