//go:build review

package standin

// limits are those of the site.
var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

// route returns a route of the operator's configuration. Its name is also its prefix.
func route(name, kind, service string, timeoutMs, targetMs, attempts int) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "prefix": "/" + name + "/", "routeType": kind, "service": service, "timeoutMs": timeoutMs,
		"targetLatencyMs": targetMs, "priority": 1, "maxAttempts": attempts, "anonymous": false,
	}
	if kind == "streaming" {
		r["gapTargetMs"], r["sessionAffinity"] = 250, true
	}
	return r
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false}
}

// engineService returns a service with the pass model of the site.
func engineService(name string) map[string]any {
	s := plainService(name)
	s["maxConnections"] = 434
	s["runtime"] = map[string]any{
		"slots": 16, "kvCapacityTokens": 232000, "stride": 43, "step_ms": 1.02, "per_seq_ms": 0.00226, "context_per_k": 0.00431,
		"read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048, "hopMs": 0.075,
	}
	return s
}
