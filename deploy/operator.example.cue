// An operator's file to start from. 'pooler check --schema' prints all that may stand in it.
package pooler

registry: {
	// Polled in this order; the next one when one fails.
	servers: [{url: "http://127.0.0.1:8761/eureka"}]
	// The applications whose instances are endpoints.
	apps: ["DB"]
	// Where endpoints may lie, and in which zone.
	networks: [
		{prefix: "127.0.0.0/8", zone: "adum"},
	]
	interval: "5s"
	// A snapshot that lacks more than this fraction of the active endpoints is never believed.
	lost_share:    0.5
	believe_after: "never"
	metadata: {group: "group", role: "role", zone: "zone", started: "startedAtMs"}
	register: {app: "POOLER", renew: "30s"}
}

log: {level: "info", format: "text"}
