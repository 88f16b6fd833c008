package main

import "fmt"

type object = map[string]any

func route(prefix, kind, service string, timeout float64) object {
	return object{"host": "app.example", "path_prefix": prefix, "route_type": kind, "timeout_s": timeout, "aim_s": 0.5,
		"priority": 1, "max_attempts": 3, "service": service}
}

func (w *world) configure(version int, routes object) {
	w.store.write("keyed.op", "config", object{
		"version": fmt.Sprintf("r%d", version), "routes": routes,
		"services": object{
			"revize": object{"sharded": true, "max_connections": 130, "health_path": "/health", "warmup_s": 0, "warmup_per_s": 0},
			"archiv": object{"max_connections": 130, "health_path": "/health", "warmup_s": 0, "warmup_per_s": 0},
		},
		"limits": object{"max_header_bytes": 65536, "max_body_bytes": 1048576, "header_timeout_s": 5, "idle_timeout_s": 30},
	})
}
