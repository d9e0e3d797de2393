package engine

import "rhubarbpoint/engine"

// kvKept bounds the number of prompts kept for export, and of imported ones.
const kvKept = 256

// kvStore holds KV cache of prompts for export, and what was imported. It is guarded by the engine's mutex.
type kvStore struct {
	exports map[string]engine.KVHandle
	imports map[string]engine.KVHandle
}

func newKVStore() kvStore {
	return kvStore{exports: make(map[string]engine.KVHandle), imports: make(map[string]engine.KVHandle)}
}

func (s *kvStore) keep(j *job, bytesPerToken int64) {
	dropOne(s.exports)
	s.exports[j.req.RequestID] = engine.KVHandle{
		RequestID: j.req.RequestID, Model: j.req.Model, Version: j.req.Version,
		Tokens: j.prompt.Tokens, Bytes: int64(j.prompt.Tokens) * bytesPerToken,
	}
}

func (s *kvStore) imported(handle engine.KVHandle) {
	dropOne(s.imports)
	s.imports[handle.RequestID] = handle
}

// take uses imported KV cache for a request, if it fits.
func (s *kvStore) take(req *engine.Request) bool {
	if req.KV == nil {
		return false
	}
	handle, found := s.imports[req.KV.RequestID]
	delete(s.imports, req.KV.RequestID)
	return found && handle.Model == req.Model && handle.Version == req.Version
}

func dropOne(handles map[string]engine.KVHandle) {
	if len(handles) < kvKept {
		return
	}
	for id := range handles {
		delete(handles, id)
		return
	}
}
