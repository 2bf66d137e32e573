package main

// Names of the deployment of all cases.
const (
	hostName     = "ficu95.example"
	modelService = "assistant-models"
	plainService = "portal-app"
	apiKey       = "i9n73hh2b9wu3fexd9dn"
	modelMb      = 72700.0
)

type object = map[string]any

// config is the deployment of all cases: the routes of the small sheet, and models of one size.
func config(models ...string) object {
	route := func(name, prefix, kind, service string, timeout, latency, attempts int, resumable bool) object {
		r := object{"Name": name, "Host": hostName, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout, "TargetLatencyMs": latency,
			"Priority": 0, "Service": service, "MaxAttempts": attempts, "Anonymous": false, "Sticky": kind == "streaming", "Resumable": resumable}
		if kind == "streaming" {
			r["GapTargetMs"] = 300
		}
		return r
	}
	list := []object{}
	for _, m := range models {
		list = append(list, object{"Name": m, "WeightsMb": modelMb, "LoadS": 6.0, "Adapters": 0, "AdapterMb": 66.0, "WarmS": 0.4, "DiskS": 0.84})
	}
	return object{
		"Version": 7,
		"Routes": []object{
			route("route-note", "/note/", "streaming", modelService, 12000, 300, 2, true),
			route("priority-route-note", "/priority/", "streaming", modelService, 25000, 2500, 1, false),
			route("collection-booking", "/booking/", "non_idempotent", plainService, 800, 150, 1, false),
			route("booking-lookup", "/lookup/", "idempotent", plainService, 800, 150, 2, false),
		},
		"Services": []object{
			{"Name": modelService, "HealthPath": "/health", "MaxConns": 390, "Protocol": "h1", "Tls": false, "Engine": object{
				"Slots": 64, "KvCapacity": 155779, "KvTokenBytes": 163840, "LinkMbps": 1100000.0, "Moves": true, "Backups": true, "Stride": 6,
				"MaxCount": 12, "HostMb": 150000.0, "DiskMb": 1300000.0, "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": list,
				"WeightsMb": 220000.0, "AdapterCapacity": 8, "LoadsPerS": 4.2}},
			{"Name": plainService, "HealthPath": "/health", "MaxConns": 130, "Protocol": "h1", "Tls": false},
		},
		"Limits": object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []object{{"Name": "hule930", "ApiKeys": []string{apiKey}, "Priority": 1, "Unit": "token_count", "PlainTokens": 200,
			"RatePerS": 826150, "Burst": 826150}},
	}
}
