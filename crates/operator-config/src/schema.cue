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

// A network in which boxes may lie, and the zone of what lies in it.
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

// What this pooler says of itself in the registry.
#Own: {
	app!:    #Word
	id?:     #Word
	renew:   #Duration | *"30s"
	expires: #Duration | *"90s"
}

// A registry that speaks Eureka's REST API.
#Registry: {
	// Asked in this order; the next one when one fails.
	servers!: [...#Server]
	// The applications whose instances are boxes.
	apps!: [...#Word]
	// Where boxes may lie. What lies elsewhere gets nothing.
	networks!: [...#Network]
	// What is asked for: 'delta' follows changes, 'full' reads all each time, 'app' and 'vip' read what is named there.
	read: *"delta" | "full" | "app" | "vip"
	// The virtual address, where 'vip' is read.
	vip: #Word | *""
	// How often.
	interval: #Duration | *"30s"
	// A call may take so long, and the longest pause while all servers fail.
	patience:      #Duration | *"10s"
	longest_pause: #Duration | *"60s"
	// A larger body is not read.
	most_body: #Size | *"64MB"
	// A list that lacks more than this share of the boxes in service is not believed, nor is an empty one,
	lost_share: number & >=0 & <=1 | *0.5
	// until it has told the same for so long; "never" for ever.
	believe_after: #Duration | *"never"
	// Once an override is taken back: 'registration' waits for the box to register anew, 'override' takes it as lifted.
	lifts: *"registration" | "override"
	// The metadata keys that hold these.
	metadata: {
		group:   string | *"group"
		zone:    string | *"zone"
		role:    string | *"role"
		started: string | *"startedAtMs"
	}
	// The role of a primary, and the group of who names none.
	primary: string | *"primary"
	group?:  int & >=0 & <=1000000
	// Whether boxes are reached on their secure port.
	secure_port: bool | *false
	user?:       #User
	// Who may vouch for servers, where these speak TLS.
	ca?:       #Path
	identity?: #Identity
	register?: #Own
}

// What is written to standard error.
#Log: {
	level:  "error" | "warn" | *"info" | "debug"
	format: *"text" | "json"
}

registry?: #Registry
log:       #Log
