// Schema of scenarios: a file is unified with #Day. A #Chance is a probability.

#Duration: =~"^[0-9]+(\\.[0-9]+)?(us|ms|s|m|h)$"
#Chance:   number & >=0 & <=1

#Step: {
	at: #Duration
	do: "kill_gateway" | "drain_gateway" | "freeze_gateway" | "upgrade_gateway" | "kill_node" | "drain_node" | "freeze_node" |
		"cut_peers" | "peer_faults" | "node_faults" | "late_list"
	which:        *[] | [...int]
	for:          *"0s" | #Duration
	back:         *"500ms" | #Duration // time until a killed process is started again
	reset_before: *0 | #Chance
	reset_after:  *0 | #Chance
	cut:          *0 | #Chance
	silent:       *0 | #Chance
	full:         *0 | #Chance
	loss:         *0 | #Chance
	double:       *0 | #Chance
	delay:        *"0s" | #Duration
}

#Kind: {
	class:  string
	share:  number & >0
	method: "GET" | "PUT" | "POST"
	target: string // {} is replaced by the name of the request
	work:   #Duration
	body:   *0 | int & >=0
}

#Day: {
	fleet:     string // path of a fleet's settings, relative to the scenario's file; their addresses are replaced
	gateways:  int & >=1 & <=400
	racks:     int & >=1
	rack_size: int & >=1
	cores:     *2 | number & >0
	customers: int & >=1
	rate:      number & >0 // requests per second
	span:      #Duration
	kinds:     [...#Kind]
	list_delay: *["200ms", "900ms"] | [#Duration, #Duration]
	peer_loss:  *0.02 | #Chance
	takes:      *0 | number & >=0 // quota requests per second over RESP
	upgrades:   *0 | int & >=0 & <=50 // hot restarts in a scenario with random faults, in addition to the faults
	answer_slack:  *"100ms" | #Duration
	arrival_slack: *"100ms" | #Duration
	steps:     [...#Step]
}
