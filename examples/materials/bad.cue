// A scenario with many faults at once: kills, resets, drains, a cold deploy, stalls and a partition.
fleet:     "fleet.cue"
gateways:  3
racks:     3
rack_size: 2
customers: 60
rate:      70
span:      "24s"
peer_loss: 0.03
takes:     25
kinds: [
	{class: "sheet-read", share: 0.6, method: "GET", target: "/v1/sheets/{}", work: "20ms"},
	{class: "test-upload", share: 0.25, method: "PUT", target: "/v1/tests/{}", work: "40ms", body: 3000},
	{class: "report-issue", share: 0.15, method: "POST", target: "/v1/reports", work: "60ms", body: 300},
]
steps: [
	{at: "2s", do: "node_faults", which: [0, 1, 2], for: "16s", reset_before: 0.03, reset_after: 0.05, cut: 0.03, silent: 0.01, full: 0.05},
	{at: "3s", do: "peer_faults", for: "15s", loss: 0.15, double: 0.1, delay: "40ms"},
	{at: "3s", do: "late_list", for: "12s", delay: "2s"},
	{at: "4s", do: "kill_gateway", which: [1], back: "800ms"},
	{at: "5s", do: "freeze_gateway", which: [0], for: "2s"},
	{at: "5500ms", do: "drain_node", which: [3, 4, 5, 2], for: "2500ms", back: "400ms"},
	{at: "8s", do: "cut_peers", which: [2], for: "5s"},
	{at: "9s", do: "kill_node", which: [0], back: "1s"},
	{at: "10s", do: "freeze_node", which: [1], for: "1500ms"},
	{at: "13s", do: "freeze_gateway", which: [2], for: "2s"},
	{at: "13500ms", do: "kill_gateway", which: [0], back: "300ms"},
	{at: "17s", do: "drain_gateway", which: [0, 1, 2], back: "100ms"},
]
