package main

const (
	keyGood = "key-good"
	keyOld  = "key-old"
	// The routes of the configuration.
	pathLookup = "/lookup/"
	pathOrder  = "/order/"
)

// baseConfig returns a configuration with the given keys: one plain service, a route that may be repeated and one that may not.
func baseConfig(version int, keys ...string) map[string]any {
	route := func(name, path, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": path, "kind": kind, "timeoutMs": 4000, "targetLatencyMs": 300, "priority": 2,
			"service": "app", "maxAttempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
	}
	return map[string]any{
		"version": version,
		"routes":  []any{route("lookup", pathLookup, "idempotent", 2), route("order", pathOrder, "non_idempotent", 1)},
		"services": []any{
			map[string]any{"name": "app", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false},
			map[string]any{"name": "other", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			map[string]any{"name": "tenant-1", "apiKeys": keys, "priority": 1, "unit": "token_stream", "plainTokens": 200, "ratePerS": 0, "burst": 0},
		},
	}
}
