// A large scenario: 100 gateways and 24 endpoints, for the simulated backend.
fleet:     "fleet.cue"
gateways:  100
racks:     8
rack_size: 3
customers: 400
rate:      300
span:      "8s"
peer_loss: 0.03
kinds: [
	{class: "sheet-read", share: 0.6, method: "GET", target: "/v1/sheets/{}", work: "20ms"},
	{class: "test-upload", share: 0.25, method: "PUT", target: "/v1/tests/{}", work: "40ms", body: 3000},
	{class: "report-issue", share: 0.15, method: "POST", target: "/v1/reports", work: "60ms", body: 300},
]
steps: [
	{at: "1s", do: "node_faults", which: [0, 1, 2, 3, 4, 5], for: "5s", reset_before: 0.03, reset_after: 0.05, cut: 0.03, full: 0.05},
	{at: "1s", do: "kill_gateway", which: [3, 4, 5, 6, 7, 8, 9], back: "500ms"},
	{at: "1500ms", do: "freeze_gateway", which: [20, 21, 22, 23, 24, 25, 26, 27, 28, 29], for: "2s"},
	{at: "2s", do: "cut_peers", which: [40, 41, 42, 43, 44, 45, 46, 47, 48, 49], for: "3s"},
	{at: "2s", do: "drain_node", which: [9, 10, 11], for: "1500ms", back: "300ms"},
	{at: "3s", do: "kill_node", which: [12, 13, 14], back: "500ms"},
	{at: "4s", do: "drain_gateway", which: [60, 61, 62], back: "100ms"},
]
