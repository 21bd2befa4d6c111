// Package balancer holds every load-balancing decision of a controller.
//
// Events come in as calls of a Controller (controller.go, and shard.go for the shards that the simulator gives);
// effects go out as calls of its Host (host.go). Between them stand the rules, one a file:
//
//	outlier.go    which backends are ejected, and when they are readmitted
//	weight.go     which share of its listed weight a backend gets: warm-up, slow start, lagging answers
//	subset.go     how many subsets of the backends there are, and which backend is in which
//	publish.go    which table entries go out, and when
//	sync.go       when proxies that connect get complete tables, and of what they are notified until then
//	pushqueue.go  what may be sent without queueing for too long
//	overload.go   what load reports say of the whole fleet
//	admission.go  the limit of what is let in under overload, and how classes share it
//	retry.go      which retry policy goes with a limit
//	drain.go      which backends must be left, and how much time is left for it
//	shard.go      which backend owns a shard, and when writes to it must stop
//
// State, and what a report or a listing does to it, is in backend.go, proxy.go and demand.go, settings in config.go, and
// what events carry in events.go. docs/design.md says why the rules are what they are.
//
// A Controller has no locks, goroutines, clock or random source of its own: its caller makes one call at a time, the
// time is Host.Now, timers are Host.SetTimer, and random choices come from the seed. The same calls at the same times
// give the same effects in the same order. Nothing is stored: a controller that restarts begins anew.
//
// Backends, proxies, classes, zones and shards are small indices given by the caller. Times and durations are whole
// microseconds, rates are requests a second, and costs of pushes are lines, the unit of PushChannel.
package balancer
