// The schema of the operator's file. Records are closed: a field that is not defined here is an error.
// `key!` is required, `key?` is optional, and `*` marks the default.
package pooler

// A duration with its unit: ms, s, m (minutes) or h (hours), such as "500ms" or "30s".
#Duration: =~"^[1-9][0-9]{0,8}(ms|s|m|h)$"
// A size with its unit: KB (1024 bytes) or MB (1024 KB), such as "64MB".
#Size: =~"^[1-9][0-9]{0,5}(KB|MB)$"
// A file path.
#Path: =~"^[^\n]{1,4096}$"
// A name that is used in URLs and ids.
#Word: =~"^[A-Za-z0-9._:-]{1,128}$"

// A server of a registry.
#Server: {
	// The base URL of the REST API, such as "http://127.0.0.1:8761/eureka", without user, query and fragment.
	url!: =~"^https?://[^ @?#]+$"
	// The IP address and port to connect to, such as "10.0.0.5:8443" or "[fd00::5]:8443". Required if the
	// host in 'url' is a name, because host names are not resolved. TLS still verifies the certificate for
	// that name.
	at?:  =~"^[0-9a-fA-F.:\\[\\]]+:[0-9]+$"
}

// A network that may contain endpoints. If several contain an address, that with the longest prefix applies.
#Network: {
	// The network in CIDR notation, such as "10.1.0.0/16". No bits may be set beyond the prefix length.
	prefix!: =~"^[0-9a-fA-F.:]+/[0-9]{1,3}$"
	// The zone of endpoints in this network whose metadata name no zone. By default it is unknown.
	zone:    string | *""
}

// The user and password of HTTP basic authentication.
#User: {
	name!:          =~"^[^:\n]{1,256}$"
	// The file that contains the password and nothing else; line ends after the password are ignored. Only
	// the owner may have access to this file.
	password_file!: #Path
}

// The pooler's own TLS certificate and its private key, as PEM files.
#Identity: {
	certificate!: #Path
	// The private key. Only the owner may have access to this file.
	key!:         #Path
}

// The registration of this pooler in the registry.
#Own: {
	// The application under which the pooler registers.
	app!:    #Word
	// The instance id. By default it is made of the pooler's name and its address with port.
	id?:     #Word
	// The time between two renewals of the registration lease, "1s" to "1h".
	renew:   #Duration | *"30s"
	// The duration of the lease after its last renewal, "1s" to "24h". It must be at least twice 'renew', so
	// that one lost renewal does not end the lease.
	expires: #Duration | *"90s"
}

// A service registry with Eureka's REST API.
#Registry: {
	// The registry's servers, 1 to 16. Polls start with the first one; after a failed poll the next one in
	// this order takes over.
	servers!: [...#Server]
	// The applications whose instances are endpoints, 1 to 256, compared without regard to case.
	apps!: [...#Word]
	// The networks that may contain endpoints, 1 to 10000. Instances outside of all of them get no requests.
	networks!: [...#Network]
	// What a poll fetches: "delta" all applications at first and then the changes, "full" all applications
	// each time, "app" the only application in 'apps', "vip" the virtual address in 'vip'.
	read: *"delta" | "full" | "app" | "vip"
	// The virtual address that is fetched if 'read' is "vip". It is required then, and not allowed otherwise.
	vip: #Word | *""
	// The time between two polls, "100ms" to "1h".
	interval: #Duration | *"30s"
	// The timeout of one call to a server, "100ms" to "10m".
	patience:      #Duration | *"10s"
	// The maximum backoff between polls while all servers fail, "100ms" to "1h".
	longest_pause: #Duration | *"60s"
	// The maximum size of a response body after decompression, "64KB" to "1024MB". A poll with a larger one
	// fails.
	most_body: #Size | *"64MB"
	// Self-preservation: a snapshot that is empty, or lacks more than this fraction of the active endpoints,
	// is not believed, and the endpoints that it lacks are kept. By default up to half of them may be
	// missing; at 1 only an empty snapshot is not believed.
	lost_share: number & >=0 & <=1 | *0.5
	// How long a loss that is not believed must last until it is accepted, "1s" to "720h". By default such a
	// loss is never accepted.
	believe_after: #Duration | *"never"
	// What ends a drain that was started by a status override: "registration" only a new registration of the
	// instance, "override" also the removal of the override.
	lifts: *"registration" | "override"
	// The keys in an instance's metadata that hold its group, zone, role and start time.
	metadata: {
		// The group, a whole number.
		group:   string | *"group"
		// The zone. It takes precedence over the zone of the network.
		zone:    string | *"zone"
		// The role; see 'primary'.
		role:    string | *"role"
		// The time of the last start, in milliseconds since 1970-01-01 UTC.
		started: string | *"startedAtMs"
	}
	// The role that marks an instance as a primary.
	primary: string | *"primary"
	// The group of instances whose metadata name no group. Without it such instances are rejected.
	group?:  int & >=0 & <=1000000
	// Whether to connect to an instance's secure port. By default its plain port is used.
	secure_port: bool | *false
	// The credentials for HTTP basic authentication. Without them, requests carry none.
	user?:       #User
	// The PEM file of the trusted certificate authorities. Without it no authority is trusted, so that
	// servers with https URLs can't be used.
	ca?:       #Path
	// The pooler's certificate for TLS client authentication. Without it, none is presented.
	identity?: #Identity
	// The pooler's own registration. Without it, the pooler does not register itself.
	register?: #Own
}

// The log, which is written to standard error.
#Log: {
	// The least severe level that is logged.
	level:  "error" | "warn" | *"info" | "debug"
	// Plain text, or one JSON object per line.
	format: *"text" | "json"
}

// The service registry to watch. Without it, no registry is used.
registry?: #Registry
log:       #Log
