// A short scenario without faults.
fleet:     "fleet.cue"
gateways:  3
racks:     3
rack_size: 2
customers: 20
rate:      60
span:      "5s"
kinds: [
	{class: "sheet-read", share: 0.7, method: "GET", target: "/v1/sheets/{}", work: "15ms"},
	{class: "test-upload", share: 0.2, method: "PUT", target: "/v1/tests/{}", work: "30ms", body: 2000},
	{class: "report-issue", share: 0.1, method: "POST", target: "/v1/reports", work: "50ms", body: 200},
]
steps: []
