// Package balancer implements all load-balancing decisions of a controller.
//
// Events arrive as method calls on a Controller (controller.go, and shard.go for shards, which only
// the simulator assigns). Effects leave as method calls on its Host (host.go). The rules that lead
// from events to effects are split into one file each:
//
//	outlier.go        which backends are ejected, and when they are readmitted
//	weight.go         the share of its listed weight that a backend gets: warm-up, slow start, lagging
//	subset.go         the number of subsets, and the subset of each backend
//	table_content.go  which backends a table keeps although they are ejected or withheld
//	publish.go        which table entries are published, and when
//	publication.go    what a round of changes would send, and what it costs
//	round_delay.go    when a round of changes may start
//	sync.go           when a proxy that connects gets complete tables, or withdrawals until then
//	pushqueue.go      how many lines may be queued for sending
//	message_budget.go how many messages a proxy may be sent, and which are left for required changes
//	reports.go        the events that report outcomes, health checks and demand
//	overload.go       the summary of load reports
//	admission.go      the limit on admitted requests under overload
//	admission_scope.go     the fleet and its zones, which are limited by themselves
//	admission_division.go  the division of limits among classes
//	capacity_loss.go  the limit ahead of reports when backends leave
//	cold_start.go     the limit, or no entries, when nearly all backends have just started
//	retry.go          the retry policy that accompanies a limit
//	drain.go          which backends proxies must stop using, and within what time
//	shard.go          the backend that owns a shard, and when writes to the shard must stop
//
// State, and its updates by reports and endpoint lists, is in backend.go, proxy.go and demand.go,
// settings are in config.go, and the arguments of events in events.go. docs/design.md gives the
// reasons for the rules.
//
// A Controller has no locks, goroutines, clock or random source of its own: its caller makes one
// call at a time, the time is Host.Now, timers are Host.SetTimer, and random choices derive from
// the seed. The same calls at the same times give the same effects in the same order. No state is
// stored: a controller that restarts begins with empty state.
//
// Backends, proxies, classes, zones and shards are identified by small indices that the caller
// assigns. Times and durations are whole microseconds, rates are requests per second, and the costs
// of pushes are lines, the unit of PushChannel.
package balancer
