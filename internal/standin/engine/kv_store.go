package engine

import "rhubarbpoint/engine"

// maxKVHandles bounds the number of prompts whose KV cache is kept for export, and that of imported ones.
const maxKVHandles = 256

// kvStore holds handles of KV cache by request ID: of prompts kept for export, and of imported ones. It is guarded by
// the engine's mutex.
type kvStore struct {
	exports map[string]engine.KVHandle
	imports map[string]engine.KVHandle
}

func newKVStore() kvStore {
	return kvStore{exports: make(map[string]engine.KVHandle), imports: make(map[string]engine.KVHandle)}
}

func (s *kvStore) addExport(j *job, bytesPerToken int64) {
	evictOne(s.exports)
	s.exports[j.req.RequestID] = engine.KVHandle{
		RequestID: j.req.RequestID, Model: j.req.Model, Version: j.req.Version,
		Tokens: j.prompt.Tokens, Bytes: int64(j.prompt.Tokens) * bytesPerToken,
	}
}

func (s *kvStore) addImport(handle engine.KVHandle) {
	evictOne(s.imports)
	s.imports[handle.RequestID] = handle
}

// takeImport removes the imported KV cache that a request names and reports whether it fits the request's model.
func (s *kvStore) takeImport(req *engine.Request) bool {
	if req.KV == nil {
		return false
	}
	handle, found := s.imports[req.KV.RequestID]
	delete(s.imports, req.KV.RequestID)
	return found && handle.Model == req.Model && handle.Version == req.Version
}

func evictOne(handles map[string]engine.KVHandle) {
	if len(handles) < maxKVHandles {
		return
	}
	for id := range handles {
		delete(handles, id)
		return
	}
}
