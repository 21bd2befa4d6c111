package simwire

import (
	"fmt"
	"math"

	"wheelrill/balancer"
)

// instance is one controller in the simulation. It implements balancer.Host for its balancer, and
// validates the ids and numbers in events.
type instance struct {
	server     *Server
	id         uint16
	balancer   *balancer.Controller // balancer of this controller; nil after the instance has aborted
	loadFields []string             // names of the values in a load report, in their order in the report
	classes    int                  // number of request classes in the settings
	zones      int                  // number of zones in the settings
	shards     int                  // number of shards in the settings
	backends   index                // numbers of the backends by id
	proxies    index                // numbers of the proxies by id
}

// index assigns consecutive numbers to ids, in the order in which the ids first occur.
type index struct {
	numbers map[uint32]int
	ids     []uint32 // ids by their number
}

// numberOf returns the number of an id, and assigns the next free number to a new id.
func (x *index) numberOf(id uint32) int {
	if n, ok := x.numbers[id]; ok {
		return n
	}
	if x.numbers == nil {
		x.numbers = map[uint32]int{}
	}
	n := len(x.ids)
	x.numbers[id] = n
	x.ids = append(x.ids, id)
	return n
}

// abortOnPanic runs a call into the balancer. If the call panics, only this instance aborts.
func (in *instance) abortOnPanic(call func()) {
	defer func() {
		if cause := recover(); cause != nil {
			in.balancer = nil
			in.server.reply.addText(actionAbort, in.id, fmt.Sprint(cause))
		}
	}()
	call()
}

// instanceID returns the id of the controller that an event is for. It must not be called for an
// eventEndpointList, which is for no controller.
func (r record) instanceID() uint16 { return r.u16(instanceAt) }

// eventHandlers maps the codes of events for one instance to the handlers of these events;
// Server.handleEvent handles the events with other codes.
var eventHandlers = map[eventCode]func(*instance, record){
	eventEndpointsUpdated:     (*instance).endpointsUpdated,
	eventTimerFired:           (*instance).timerFired,
	eventHealthCheckCompleted: (*instance).healthCheckCompleted,
	eventPeerMessage:          (*instance).peerMessage,
	eventProxyConnected:       (*instance).proxyConnected,
	eventProxyDisconnected:    (*instance).proxyDisconnected,
	eventAcknowledged:         (*instance).acknowledged,
	eventOutcomesReported:     (*instance).outcomesReported,
	eventDemandReported:       (*instance).demandReported,
	eventShardDemandReported:  (*instance).shardDemandReported,
	eventShardOwnership:       (*instance).shardOwnership,
	eventShardOwnerStored:     (*instance).shardOwnerStored,
}

// handle passes an event to the balancer, unless the instance has aborted.
func (in *instance) handle(r record) {
	handler := eventHandlers[r.code()]
	if in.balancer == nil || handler == nil {
		return
	}
	in.abortOnPanic(func() { handler(in, r) })
}

func (in *instance) timerFired(r record) { in.balancer.TimerFired(r.u64(firedTagAt)) }

func (in *instance) peerMessage(record) {
	in.server.warn("a peer message came, though we never send one")
}

func (in *instance) healthCheckCompleted(r record) {
	if backend, ok := in.knownID(&in.backends, r.u32(checkedBackendAt), "backend"); ok {
		in.balancer.HealthCheckCompleted(backend, in.healthCheckResult(r.u16(checkedResultAt)))
	}
}

func (in *instance) outcomesReported(r record) {
	backend, ok := in.knownID(&in.backends, r.u32(outcomesBackendAt), "backend")
	if !ok || !in.exists(int(r.u8(outcomesZoneAt)), in.zones, "zone") {
		return
	}
	attempts := int(r.u32(outcomesAttemptsAt))
	in.balancer.OutcomesReported(balancer.OutcomeReport{
		Backend:        backend,
		Attempts:       attempts,
		Failures:       min(int(r.u32(outcomesFailuresAt)), attempts),
		MeanAnswerTime: r.microseconds(outcomesMeanAt),
		Span:           r.microseconds(outcomesSpanAt),
		Load:           in.loadReport(r, outcomesLoadAt),
	})
}

func (in *instance) proxyConnected(r record) {
	zone := int(r.u8(connectedZoneAt))
	if in.exists(zone, in.zones, "zone") {
		proxy := in.proxies.numberOf(uint32(r.u16(connectedProxyAt)))
		in.balancer.ProxyConnected(proxy, zone, r.f32(connectedRateAt), false)
	}
}

func (in *instance) proxyDisconnected(r record) {
	if proxy, ok := in.knownProxy(r); ok {
		in.balancer.ProxyDisconnected(proxy)
	}
}

func (in *instance) acknowledged(r record) {
	if proxy, ok := in.knownProxy(r); ok {
		in.balancer.Acknowledged(proxy, int(r.u64(ackNumberAt)&math.MaxUint16))
	}
}

func (in *instance) demandReported(r record) {
	proxy, ok := in.knownProxy(r)
	if !ok {
		return
	}
	class := int(r.u8(demandClassAt))
	if in.exists(class, in.classes, "class") {
		in.balancer.DemandReported(proxy, class, int(r.u32(demandCountAt)), r.microseconds(demandSpanAt))
	}
}

func (in *instance) shardDemandReported(r record) {
	shard, ok := in.existingShard(r)
	if !ok {
		return
	}
	class := int(r.u8(demandClassAt))
	if in.exists(class, in.classes, "class") {
		in.balancer.ShardDemandReported(shard, class, int(r.u32(demandCountAt)), r.microseconds(demandSpanAt))
	}
}

func (in *instance) shardOwnership(r record) {
	shard, ok := in.existingShard(r)
	if !ok {
		return
	}
	if assigned := r.u8(shardAssignedAt) != 0; assigned {
		in.balancer.ShardAssigned(shard)
	} else {
		in.balancer.ShardRevoked(shard)
	}
}

func (in *instance) shardOwnerStored(r record) {
	if shard, ok := in.existingShard(r); ok {
		in.balancer.ShardOwnerStored(shard, in.backends.numberOf(r.u32(shardOwnerAt)), r.f32(shardWeightAt))
	}
}

// knownProxy returns the number of an event's proxy. It warns and returns false if the proxy has
// never connected.
func (in *instance) knownProxy(r record) (int, bool) {
	return in.knownID(&in.proxies, uint32(r.u16(proxyAt)), "proxy")
}

// existingShard returns the number of an event's shard. It warns and returns false if the settings
// have no shard with this number.
func (in *instance) existingShard(r record) (int, bool) {
	shard := int(r.u16(shardAt))
	return shard, in.exists(shard, in.shards, wordShard)
}

// exists reports whether a number is below a count, and warns if it is not. The noun names the
// counted items in the warning.
func (in *instance) exists(number, count int, noun string) bool {
	if number >= count {
		in.server.warn("%s %d does not exist", noun, number)
	}
	return number < count
}

// knownID returns the number of an id in an index. It warns and returns false if no earlier
// event has introduced the id.
func (in *instance) knownID(x *index, id uint32, noun string) (int, bool) {
	number, ok := x.numbers[id]
	if !ok {
		in.server.warn("%s %d is not known: no earlier event introduced it", noun, id)
	}
	return number, ok
}

func (in *instance) endpointsUpdated(r record) {
	kind := r.u8(updateKindAt)
	switch {
	case kind == updateFailed:
		in.balancer.EndpointPollFailed()
		return
	case kind > updateFailed:
		in.server.warn("list event of unknown kind %d", kind)
		return
	}
	number := r.u32(updateListAt)
	if number >= maxEndpointLists {
		in.server.warn("list number %d is not known", number)
		return
	}
	entries := in.server.endpointLists[number]
	endpoints := make([]balancer.Endpoint, 0, len(entries)/endpointSize)
	for ; len(entries) >= endpointSize; entries = entries[endpointSize:] {
		entry := record{raw: entries}
		state := in.endpointState(entry.u8(endpointStateAt))
		zone := int(entry.u8(endpointZoneAt))
		if !in.exists(zone, in.zones, "zone") {
			continue
		}
		endpoints = append(endpoints, balancer.Endpoint{
			Backend:   in.backends.numberOf(entry.u32(endpointBackendAt)),
			State:     state,
			StartedAt: entry.microseconds(endpointStartedAt),
			Weight:    entry.f32(endpointWeightAt),
			Zone:      zone,
		})
	}
	in.balancer.EndpointsUpdated(kind != updateDelta, endpoints)
}

// endpointState converts a backend's state. An unknown state counts as draining, so that the
// backend receives no new requests.
func (in *instance) endpointState(code byte) balancer.EndpointState {
	switch code {
	case backendRemoved:
		return balancer.Removed
	case backendReady:
		return balancer.Ready
	case backendDraining:
	default:
		in.server.warn("backend condition %d is not known", code)
	}
	return balancer.Draining
}

// healthCheckResult converts the result code of a health check, and warns if the code is unknown.
func (in *instance) healthCheckResult(code uint16) balancer.HealthCheckResult {
	switch code {
	case checkPassed:
		return balancer.HealthCheckPassed
	case checkFailed:
		return balancer.HealthCheckFailed
	case checkRefused:
		return balancer.HealthCheckRefused
	case checkTimedOut:
		return balancer.HealthCheckTimedOut
	case checkUnreachable:
		return balancer.HealthCheckUnreachable
	case checkBroken:
		return balancer.HealthCheckBroken
	}
	in.server.warn("%s %d is not known", wordHealthCheckResult, code)
	return balancer.HealthCheckUnknown
}

// loadReport reads a list of load values: the number of values, which is at the given position, and
// the values, which follow. A load value that the report lacks becomes -1.
func (in *instance) loadReport(r record, at int) balancer.BackendLoad {
	load := balancer.BackendLoad{CPUUtilization: -1, QueueLength: -1, ServiceTime: -1}
	valueCount := min(int(r.u8(at)), len(in.loadFields), maxLoadValues)
	for i := range valueCount {
		x := r.f32(at + loadValuesAt + loadValueSize*i)
		switch in.loadFields[i] {
		case loadCPU:
			load.CPUUtilization = x
		case loadQueue:
			load.QueueLength = x
		case loadServiceTime:
			load.ServiceTime = x * microsecondsPerMillisecond
		}
	}
	return load
}
