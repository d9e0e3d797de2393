package entry

import (
	"encoding/json"
	"net/http"
)

// listedModel is one entry of GET /v1/models. Version is an addition to the format of the OpenAI API.
type listedModel struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	Version string `json:"version"`
}

func (s *Server) serveModels(w http.ResponseWriter) *Error {
	list := struct {
		Object string        `json:"object"`
		Data   []listedModel `json:"data"`
	}{"list", []listedModel{}}
	for _, m := range s.opts.Document().Models.Models {
		list.Data = append(list.Data, listedModel{ID: m.Name, Object: "model", OwnedBy: "rhubarbpoint", Version: m.Version})
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(list)
	return nil
}
