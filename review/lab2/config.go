package main

import "encoding/json"

// route is a route of the operator's configuration.
type route struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Kind     string `json:"kind"`
	Timeout  int    `json:"timeout_ms"`
	Target   int    `json:"target_latency_ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"max_attempts"`
}

// configuration returns the value of the operator's key.
func configuration(version int, routes []route, services ...string) []byte {
	var listed []map[string]any
	for _, name := range services {
		listed = append(listed, map[string]any{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false})
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": listed,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return data
}
