// What a fleet's settings may be. A file of settings is unified with #Fleet.

#Duration: =~"^[0-9]+(\\.[0-9]+)?(us|ms|s|m|h)$"
#Size:     =~"^[0-9]+(B|KiB|MiB|GiB)$"
#Address:  =~"^127\\.[0-9]+\\.[0-9]+\\.[0-9]+:[0-9]+$|^[A-Za-z0-9.-]+:[0-9]+$"
#Share:    number & >0 & <=1

// One gateway of the fleet; its rank is its place in the list.
#Gateway: {
	name:   =~"^[A-Za-z0-9-]+$"
	listen: #Address // requests, HTTP/1.1
	peer:   #Address // datagrams of the other gateways
	admin:  *"" | #Address // health and metrics; none where empty
	resp:   *"" | #Address // limits by RESP commands; none where empty
	zone:   *"zone-1" | string
}

// A ceiling: units a second, units at once, and how far it may be passed.
#Ceiling: {
	rate:  number & >0
	burst: number & >0
	slack: *0 | number & >=0
}

// Quotas of each customer on the plan, over all gateways together. Zero rate or open: no such quota.
#Plan: {
	rate:         number & >=0 // units a second
	burst:        number & >=0 // units at once
	open:         *0 | int & >=0 // attempts out at once
	price:        *1 | number & >0
	beyond_earns: *0 | number & >=0
	beyond_costs: *1 | number & >=0
	ceiling?:     #Ceiling
	spread:       *0 | int & >=0 // gateways that a customer uses; 0: all
}

// How the nodes start, drain and fall over; the figures of rules 3 and 4.
#Nodes: {
	list:          #Address // the node list's watch
	drain_grace:   *"500ms" | #Duration
	cold_from:     *0.25 | #Share
	warm_within:   *"15s" | #Duration
	fall_multiple: *2 | number & >1
	overload_for:  *"2s" | #Duration
	full_header:   *"node-full" | string // on a 503: the node turned the request away unseen
	report_header: *"node-report" | string
	reports:       *[] | [...string]
}

#Peers: {
	secret_file: string // at least 16 bytes; the same for the whole fleet
	intake:      *100 | number & >0 // datagrams a second
}

// Bounds. What happens at each is in docs/gateway.md.
#Bounds: {
	connections:       *10000 | int & >=1 // of clients
	open:              *2000 | int & >=1 // requests under way
	node_connections:  *128 | int & >=1 // to one node
	request_line:      *"8KiB" | #Size
	request_head:      *"32KiB" | #Size
	request_headers:   *100 | int & >=1
	request_body:      *"64MiB" | #Size
	held_body:         *"256KiB" | #Size // kept for a further attempt
	held_answer:       *"256KiB" | #Size // kept until the answer is complete
	pipelined:         *"64KiB" | #Size // bytes of later requests
	lingering:         *256 | int & >=1 // connections of clients that are ending; as many of nodes
	nodes:             *10000 | int & >=1
	customers:         *1000000 | int & >=1
}

#Times: {
	head:         *"10s" | #Duration // a request's head, from its first byte
	body:         *"10s" | #Duration // between two parts of a body
	idle:         *"60s" | #Duration // a connection without a request
	write:        *"10s" | #Duration // a client that does not read
	connect:      *"250ms" | #Duration // to a node
	node_idle:    *"4s" | #Duration // a pooled connection; less than the nodes' own
	unsafe_idle:  *"200ms" | #Duration // the same for a request that may not run twice
	client_margin: *"60ms" | #Duration // of the client's time kept for the way back
	drain:        *"10s" | #Duration // requests under way after SIGTERM
	linger:       *"1s" | #Duration // from our end of a connection until it is closed
}

// Limits by RESP commands.
#Limits: {
	passwords:    *[] | [...=~"^[0-9a-f]{64}$"] // SHA-256 of what AUTH takes; none: no AUTH is needed
	token_life:   *"10s" | #Duration // a repeated take counts once so long
	tokens:       *100000 | int & >=1 // held by one gateway
	grants:       *100000 | int & >=1 // remembered by one gateway
	grant_life:   *"30s" | #Duration // a take can be given back so long
	credit_life:  *"30s" | #Duration // what came back is usable so long
	reserve_most: *"60s" | #Duration // the longest reservation
	within_most:  *"10s" | #Duration // the longest wait for room
	answer:       *"300ms" | #Duration // for another gateway's answer
	again:        *"40ms" | #Duration // a datagram without an answer is sent again after so long
	intake:       *5000 | number & >0 // datagrams a second
	connections:  *10000 | int & >=1
	bulk:         *"64KiB" | #Size
	items:        *1024 | int & >=1 // words of a command
}

// Handing over to a successor; only with a folder for the state.
#Upgrade: {
	warm:    *"60s" | #Duration // to copy the state and for the successor's own check
	trial:   *"5s" | #Duration // the old process stands by so long
	silence: *"1500ms" | #Duration // a successor that says nothing for so long hangs
}

// What a gateway that starts anew knows of its customers; only with a folder for the state.
#Restart: {
	every: *"5s" | #Duration // the accounts are written down; "0s": never
}

// An upgrade of all gateways: how much may be at risk at once, beside one gateway that always may.
#Roll: {
	share:     *0.25 | number & >0 & <=1 // of all gateways
	set_share: *0.5 | number & >0 & <=1 // of the members of any customer's set
	load:      *0.34 | number & >0 & <=1 // of what all gateways answer
	halls:     *1 | int & >=1 // gateways' zones
	soak:      *"5s" | #Duration // to look at all gateways after each batch
	growth:    *2 | int & >=1 & <=16 // of a batch over the one before
}

// Versions of what the fleet goes by, approved by a quorum; off without voters. See docs/rollout.md.
#Change: {
	voters:  *[] | [...string] // names of 3, 5 or 7 gateways, best over halls
	lease:   *"60s" | #Duration // without word of a quorum for so long a gateway serves no more
	every:   *"500ms" | #Duration // each gateway asks another for news
	beat:    *"150ms" | #Duration // whoever leads says so to the voters
	silence: *"1s" | #Duration // of whoever leads, after which another voter claims to
	decide:  *"20s" | #Duration // for a quorum to vote on a change
	content: *"32MiB" | #Size // of a description, or of customers
	intake:  *2000 | number & >0 // datagrams a second
	soak:    *"10s" | #Duration // of a stage, old beside new, before the next; "0s": all at once
	move:    *0.25 | #Share // of the customers whose sets move, at once
}

#Fleet: {
	description:  string // an OpenAPI file
	customers:    string // a JSON file
	state:        *"" | string // folder for the cached node list; none where empty
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
