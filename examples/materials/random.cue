// A scenario for random faults: see `orchidlane seeds`.
fleet:     "fleet.cue"
gateways:  3
racks:     3
rack_size: 2
customers: 60
rate: 60
span:      "6s"
peer_loss: 0.03
takes:     25
kinds: [
	{class: "sheet-read", share: 0.6, method: "GET", target: "/v1/sheets/{}", work: "20ms"},
	{class: "test-upload", share: 0.25, method: "PUT", target: "/v1/tests/{}", work: "40ms", body: 3000},
	{class: "report-issue", share: 0.15, method: "POST", target: "/v1/reports", work: "60ms", body: 300},
]
steps: []
