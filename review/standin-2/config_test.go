package standin2

// route is a route of the operator's configuration.
type route map[string]any

// configure writes a version of the operator's configuration, with the figures of the site psw-cutline.
func (f *fleet) configure(version int, routes ...route) {
	f.store.put("op", "config", map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			map[string]any{
				"name": "llm", "healthPath": "/healthz", "maxConnections": 434, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 36.0,
				"runtime": map[string]any{
					"slots": 16, "kvCapacityTokens": 232000, "kvBytes": 327680, "linkMbps": 400000.0, "stride": 43,
					"models": []any{map[string]any{"name": "m"}}, "step_ms": 1.02, "per_seq_ms": 0.00226, "context_per_k": 0.00431,
					"read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048, "report_lag_ms": 200.0, "hopMs": 0.075,
				},
			},
			map[string]any{"name": "app", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false, "warmupS": 0.0, "warmupPerS": 0.0},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []any{"n2ctnfzs989anu6wsjnb"}, "priority": 1}},
	})
}

// plainRoute is a route to the plain service.
func plainRoute(prefix, kind string, attempts int) route {
	return route{
		"name": "r-" + kind, "host": "ficu95.example", "prefix": prefix, "routeType": kind, "timeoutMs": 600, "targetLatencyMs": 120,
		"priority": 2, "service": "app", "maxAttempts": attempts, "anonymous": false,
	}
}

// streamRoute is a route to the model workers.
func streamRoute(prefix string, timeoutMs, targetMs, gapMs int) route {
	return route{
		"name": "r-stream", "host": "ficu95.example", "prefix": prefix, "routeType": "streaming", "timeoutMs": timeoutMs, "targetLatencyMs": targetMs,
		"priority": 1, "service": "llm", "maxAttempts": 2, "anonymous": false, "sessionAffinity": true, "streamResume": true, "gapTargetMs": gapMs,
	}
}
