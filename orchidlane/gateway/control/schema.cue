// Schema of a fleet's settings. A settings file is unified with #Fleet.

#Duration: =~"^[0-9]+(\\.[0-9]+)?(us|ms|s|m|h)$"
#Size:     =~"^[0-9]+(B|KiB|MiB|GiB)$"
#Address:  =~"^127\\.[0-9]+\\.[0-9]+\\.[0-9]+:[0-9]+$|^[A-Za-z0-9.-]+:[0-9]+$"
#Share:    number & >0 & <=1

// One gateway of the fleet; its rank is its index in the list.
#Gateway: {
	name:   =~"^[A-Za-z0-9-]+$"
	listen: #Address // for requests, HTTP/1.1
	peer:   #Address // for datagrams of the other gateways
	admin:  *"" | #Address // for health, metrics and queries; disabled if empty
	resp:   *"" | #Address // for quotas by RESP commands; disabled if empty
	zone:   *"zone-1" | string
}

// A ceiling: units per second, units at once, and by how many units it may be exceeded.
#Ceiling: {
	rate:  number & >0
	burst: number & >0
	slack: *0 | number & >=0
}

// Quotas of each customer on the plan, over all gateways together. A rate or open of 0 disables that quota.
#Plan: {
	rate:         number & >=0 // units per second
	burst:        number & >=0 // units at once
	open:         *0 | int & >=0 // attempts in flight at once
	price:        *1 | number & >0
	beyond_earns: *0 | number & >=0
	beyond_costs: *1 | number & >=0
	ceiling?:     #Ceiling
	spread:       *0 | int & >=0 // size of a customer's replica set, in gateways; 0: all
}

// The endpoints ("nodes" in settings): how they start, drain and become overloaded; parameters of rules 3 and 4.
#Nodes: {
	list:          #Address // of the endpoint list's watch
	drain_grace:   *"500ms" | #Duration
	cold_from:     *0.25 | #Share
	warm_within:   *"15s" | #Duration
	fall_multiple: *2 | number & >1
	overload_for:  *"2s" | #Duration
	full_header:   *"node-full" | string // on a 503: the endpoint rejected the request without executing it
	report_header: *"node-report" | string
	reports:       *[] | [...string]
}

#Peers: {
	secret_file: string // holds at least 16 bytes; the same for the whole fleet
	intake:      *100 | number & >0 // datagrams per second
}

// Resource limits of one gateway; docs/gateway.md describes what happens at each.
#Bounds: {
	connections:       *10000 | int & >=1 // from clients
	open:              *2000 | int & >=1 // requests in flight
	node_connections:  *128 | int & >=1 // to one endpoint
	request_line:      *"8KiB" | #Size
	request_head:      *"32KiB" | #Size
	request_headers:   *100 | int & >=1
	request_body:      *"64MiB" | #Size
	held_body:         *"256KiB" | #Size // kept for a retry
	held_answer:       *"256KiB" | #Size // buffered until the response is complete
	pipelined:         *"64KiB" | #Size // of later requests on one connection
	lingering:         *256 | int & >=1 // client connections in lingering close; as many endpoint connections
	nodes:             *10000 | int & >=1
	customers:         *1000000 | int & >=1
}

#Times: {
	head:         *"10s" | #Duration // a request's head, from its first byte
	body:         *"10s" | #Duration // between two parts of a body
	idle:         *"60s" | #Duration // of a client connection between requests
	write:        *"10s" | #Duration // while a client does not read its response
	connect:      *"250ms" | #Duration // to an endpoint
	node_idle:    *"4s" | #Duration // of a pooled connection; shorter than the endpoints' own idle timeout
	unsafe_idle:  *"200ms" | #Duration // the same, before a request that is not idempotent reuses it
	client_margin: *"60ms" | #Duration // part of the client's timeout that is reserved for returning the response
	drain:        *"10s" | #Duration // for requests in flight after SIGTERM
	linger:       *"1s" | #Duration // from the end of the gateway's output until it closes the connection
}

// The quota server, which takes RESP commands.
#Limits: {
	passwords:    *[] | [...=~"^[0-9a-f]{64}$"] // SHA-256 of the passwords that AUTH accepts; without any, AUTH is not required
	token_life:   *"10s" | #Duration // for so long, a repeated take counts once
	tokens:       *100000 | int & >=1 // stored by one gateway
	grants:       *100000 | int & >=1 // stored by one gateway
	grant_life:   *"30s" | #Duration // for so long, a take can be refunded
	credit_life:  *"30s" | #Duration // for so long, refunded units can be used
	reserve_most: *"60s" | #Duration // the longest reservation
	within_most:  *"10s" | #Duration // the longest wait for free quota
	answer:       *"300ms" | #Duration // timeout for another gateway's reply
	again:        *"40ms" | #Duration // delay before a datagram without a reply is sent again
	intake:       *5000 | number & >0 // datagrams per second
	connections:  *10000 | int & >=1
	bulk:         *"64KiB" | #Size
	items:        *1024 | int & >=1 // words of a command
}

// Hot restart of one gateway; requires a state folder.
#Upgrade: {
	warm:    *"60s" | #Duration // for the copy of the state and the self-check of the new process
	trial:   *"5s" | #Duration // probation of the new process; until then, the old one can resume serving
	silence: *"1500ms" | #Duration // a new process that sends nothing for so long is considered hung
}

// The accounts of customers that a gateway keeps over a restart; requires a state folder.
#Restart: {
	every: *"5s" | #Duration // interval of writing the accounts to disk; "0s": never
}

// Rolling upgrade of all gateways: how much may be upgraded at once. One gateway may always be.
#Roll: {
	share:     *0.25 | number & >0 & <=1 // of all gateways
	set_share: *0.5 | number & >0 & <=1 // of any customer's replica set
	load:      *0.34 | number & >0 & <=1 // of the responses of all gateways
	halls:     *1 | int & >=1 // zones whose gateways may be upgraded at once
	soak:      *"5s" | #Duration // observation of all gateways after each batch
	growth:    *2 | int & >=1 & <=16 // largest ratio of a batch's size to that of the previous one
}

// Rollout of configuration versions that a quorum approved; disabled without voters. See docs/rollout.md.
#Change: {
	voters:  *[] | [...string] // names of 3, 5 or 7 gateways, best in different zones
	lease:   *"60s" | #Duration // a gateway without contact to a quorum for so long stops serving
	every:   *"500ms" | #Duration // interval at which each gateway polls another for a new state
	beat:    *"150ms" | #Duration // interval of the leader's heartbeats to the voters
	silence: *"1s" | #Duration // of the leader, after which another voter starts an election
	decide:  *"20s" | #Duration // for a quorum to vote on a change
	content: *"32MiB" | #Size // of a description, or of a customers file
	intake:  *2000 | number & >0 // datagrams per second
	soak:    *"10s" | #Duration // duration of each stage, in which old and new version are compared; "0s": no stages
	move:    *0.25 | #Share // of the customers whose replica sets change, in one migration step
}

#Fleet: {
	description:  string // an OpenAPI file
	customers:    string // a JSON file
	state:        *"" | string // folder for the endpoint list, accounts, votes and sockets; nothing is stored if empty
	gateways:     [...#Gateway]
	plans:        [string]: #Plan
	nodes:        #Nodes
	peers:        #Peers
	bounds:       #Bounds
	times:        #Times
	limits:       #Limits
	upgrade:      #Upgrade
	roll:         #Roll
	restart:      #Restart
	change:       #Change
	max_attempts: *3 | int & >=1 & <=16
	log_requests: *false | bool
}
