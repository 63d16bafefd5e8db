// What may stand in an operator's file. Records are closed: a field that is not named here is an error.
package pooler

// A length of time with its unit.
#Duration: =~"^[1-9][0-9]{0,8}(ms|s|m|h)$"
// An amount of memory with its unit.
#Size: =~"^[1-9][0-9]{0,5}(KB|MB)$"
// A path of a file.
#Path: =~"^[^\n]{1,4096}$"
// A word that stands in URLs and ids.
#Word: =~"^[A-Za-z0-9._:-]{1,128}$"

// A server of a registry. Names are not looked up: 'at' says where a host that is a name listens.
#Server: {
	url!: =~"^https?://[^ @?#]+$"
	at?:  =~"^[0-9a-fA-F.:\\[\\]]+:[0-9]+$"
}

// A network in which endpoints may lie, and the zone of what lies in it.
#Network: {
	prefix!: =~"^[0-9a-fA-F.:]+/[0-9]{1,3}$"
	zone:    string | *""
}

// The password is the first line of a file that only its owner may read.
#User: {
	name!:          =~"^[^:\n]{1,256}$"
	password_file!: #Path
}

// The own certificate, and its key in a file that only its owner may read.
#Identity: {
	certificate!: #Path
	key!:         #Path
}

// How this pooler registers itself: the lease is renewed every 'renew' and ends 'expires' after the last renewal.
#Own: {
	app!:    #Word
	id?:     #Word
	renew:   #Duration | *"30s"
	expires: #Duration | *"90s"
}

// A registry that speaks Eureka's REST API.
#Registry: {
	// Polled in this order; the next one when one fails.
	servers!: [...#Server]
	// The applications whose instances are endpoints.
	apps!: [...#Word]
	// Where endpoints may lie. What lies elsewhere gets no requests.
	networks!: [...#Network]
	// What a poll fetches: 'delta' the changes, 'full' all applications, 'app' and 'vip' what is named there.
	read: *"delta" | "full" | "app" | "vip"
	// The virtual address that 'vip' fetches.
	vip: #Word | *""
	// Between two polls.
	interval: #Duration | *"30s"
	// How long a call may take, and the longest backoff while all servers fail.
	patience:      #Duration | *"10s"
	longest_pause: #Duration | *"60s"
	// A larger response body is not read.
	most_body: #Size | *"64MB"
	// A snapshot that lacks more than this fraction of the active endpoints is not believed, nor is an empty one,
	lost_share: number & >=0 & <=1 | *0.5
	// until the loss has lasted this long; "never" believes none.
	believe_after: #Duration | *"never"
	// What ends a drain by an override: 'registration' waits for a new registration, 'override' for its removal.
	lifts: *"registration" | "override"
	// The metadata keys that hold these.
	metadata: {
		group:   string | *"group"
		zone:    string | *"zone"
		role:    string | *"role"
		started: string | *"startedAtMs"
	}
	// The role of a primary, and the group of instances that name none.
	primary: string | *"primary"
	group?:  int & >=0 & <=1000000
	// Whether endpoints are reached on their secure port.
	secure_port: bool | *false
	user?:       #User
	// The certificate authorities that are trusted, where servers speak TLS.
	ca?:       #Path
	identity?: #Identity
	register?: #Own
}

// The log on standard error.
#Log: {
	level:  "error" | "warn" | *"info" | "debug"
	format: *"text" | "json"
}

registry?: #Registry
log:       #Log
