// Package scale measures what controllers spend as a deployment grows: real controllers as processes beside hollow
// ones, many to a process, which run the same code without proxies. Package scale/results keeps, fits and shows what was
// seen.
//
// scale.go has what a measurement is and the list of them, budgets.go what may be spent, machine.go what a run may take.
// A measurement is a file: change.go, record.go, record_hollow.go, decisions.go, lists.go, recovery*.go, added_time.go,
// roles.go, distribution.go and distribution_faults.go. What they are built of are the hollow_*.go files (members of the
// record, subscribers, voters, and a tree of all), listed_controller.go and role_fleet.go (processes), counting_host.go,
// content.go (what is distributed), propagation.go (when it is in force), memory_network.go, discovery_listener.go,
// median.go and usage.go.
package scale
