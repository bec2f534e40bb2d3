package main

// hostName is the host name of all routes.
const hostName = "shop.example"

// key is the API key of the only tenant.
const key = "i9n73hh2b9wu3fexd9dn"

// limits are the limits of clients, as the pages show them.
func limits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

// putConfig writes a configuration with the routes and services.
func putConfig(s *store, version int, routes, services []any) {
	s.put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes, "services": services, "limits": limits(),
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 1516309, "burst": 1516309}},
	})
}

func plainRoute(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "path_prefix": prefix, "kind": kind, "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2,
		"service": service, "max_attempts": attempts, "public": false, "sticky": false, "resumable": false,
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}
}
