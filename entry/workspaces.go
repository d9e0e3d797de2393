package entry

import (
	"crypto/sha256"
	"encoding/hex"

	"rhubarbpoint/config"
)

// unknownWorkspace is shared by all callers without a known key, if the configuration admits them.
const unknownWorkspace = "unknown"

// workspaceIndex maps the hash of a key to its workspace in one configuration document.
type workspaceIndex struct {
	doc       *config.Document
	byKeyHash map[string]config.Workspace
}

// workspace returns the workspace of a bearer key, with defaults filled in.
func (s *Server) workspace(doc *config.Document, key string) (config.Workspace, bool) {
	index := s.workspaces.Load()
	if index == nil || index.doc != doc {
		index = newWorkspaceIndex(doc)
		s.workspaces.Store(index)
	}
	if key != "" {
		sum := sha256.Sum256([]byte(key))
		if found, ok := index.byKeyHash[hex.EncodeToString(sum[:])]; ok {
			return found, true
		}
	}
	return config.Workspace{Name: unknownWorkspace, Weight: 1, Priority: defaultPriority}, doc.Callers.AllowUnknown
}

func newWorkspaceIndex(doc *config.Document) *workspaceIndex {
	index := &workspaceIndex{doc: doc, byKeyHash: make(map[string]config.Workspace, len(doc.Callers.Workspaces))}
	for _, w := range doc.Callers.Workspaces {
		w.Weight = orDefault(w.Weight, 1)
		w.Priority = orDefault(w.Priority, defaultPriority)
		index.byKeyHash[w.KeySHA256] = w
	}
	return index
}
