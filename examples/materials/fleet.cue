// Three gateways of a materials service, for trying out on one machine.
package materials

description: "openapi.yaml"
customers:   "customers.json"
state:       ""

gateways: [
	{name: "gw-0", listen: "127.0.0.1:8080", peer: "127.0.0.1:8180", admin: "127.0.0.1:8280", resp: "127.0.0.1:8380", zone: "hall-1"},
	{name: "gw-1", listen: "127.0.0.1:8081", peer: "127.0.0.1:8181", admin: "127.0.0.1:8281", resp: "127.0.0.1:8381", zone: "hall-1"},
	{name: "gw-2", listen: "127.0.0.1:8082", peer: "127.0.0.1:8182", admin: "127.0.0.1:8282", resp: "127.0.0.1:8382", zone: "hall-1"},
]

plans: basico: {rate: 4, burst: 12}
plans: amplio: {
	rate: 10, burst: 30, price: 2
	ceiling: {rate: 15, burst: 40, slack: 4}
}

nodes: {
	list: "127.0.0.1:8300"
	reports: ["util", "inflight"]
	cold_from: 0.25, warm_within: "10s", fall_multiple: 3, overload_for: "2s"
}
peers: secret_file: "secret"
bounds: {}
times: {}
limits: token_life: "3s"
