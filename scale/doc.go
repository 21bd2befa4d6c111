// Package scale measures the processor time, memory, traffic and latency of control as a deployment
// grows. Real controllers run as processes of their own. Hollow controllers run the same code
// without proxies, and many of them share one process. Package scale/results stores the results,
// fits them over sizes, and writes them as tables.
//
// scale.go defines the interface of a measurement and lists all measurements; budgets.go has the
// budgets, and machine.go the limits of a run. Each measurement has a file: change.go, record.go,
// record_hollow.go, decisions.go, lists.go, recovery*.go, added_time.go, roles.go, distribution.go
// and distribution_faults.go. The measurements are built from the hollow_*.go files (members of the
// record, subscribers, voters, and a tree of voters, distributors and subscribers),
// listed_controller.go and role_fleet.go (processes), counting_host.go, content.go (the distributed
// configuration), propagation.go (when subscribers apply changes), memory_network.go,
// discovery_listener.go, median.go and usage.go.
package scale
