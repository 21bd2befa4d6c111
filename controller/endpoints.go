package controller

import (
	"github.com/valyala/fastjson"

	"wheelrill/balancer"
	"wheelrill/internal/settings"
)

// endpointsUpdated takes in discovery's list: all endpoints (full), or those that changed.
func (l *eventLoop) endpointsUpdated(full bool, version int64, servers []*fastjson.Value) {
	endpoints := make([]balancer.Endpoint, 0, len(servers))
	listed := map[int]bool{} // by backend that is named: whether it is there still
	for _, server := range servers {
		if endpoint, ok := l.decodeEndpoint(server); ok {
			endpoints = l.withOverrides(endpoints, endpoint)
			listed[endpoint.Backend] = endpoint.State != balancer.Removed
		}
	}
	if full && l.overrides != nil {
		l.overrides.markUnlisted(listed)
	}
	l.backends.updateListed(listed, full, l.now)
	l.log.Info("endpoint_list_updated", "version", version, "full", full, "endpoints", len(endpoints))
	l.decisions.EndpointsUpdated(full, endpoints)
	if len(endpoints) > 0 {
		l.becomeReady(readyListKnown)
	}
}

// withOverrides adds an endpoint to a list, with what distributed configuration says of its backend.
func (l *eventLoop) withOverrides(to []balancer.Endpoint, endpoint balancer.Endpoint) []balancer.Endpoint {
	if l.overrides == nil {
		return append(to, endpoint)
	}
	l.overrides.storeListed(endpoint)
	return l.overrides.appendMerged(to, l.backends.ids[endpoint.Backend], endpoint)
}

// decodeEndpoint reads an endpoint of the list, and gives its backend an index. One that cannot be used is skipped.
func (l *eventLoop) decodeEndpoint(server *fastjson.Value) (endpoint balancer.Endpoint, ok bool) {
	id := server.GetStringBytes(keyID)
	zone, known := l.zoneIndex[string(server.GetStringBytes(keyListZone))]
	if len(id) == 0 || len(id) > l.limits.maxIDBytes || !known {
		l.log.Warn("endpoint_skipped", "backend", string(id[:min(len(id), l.limits.maxIDBytes)]), "reason", "no usable id or zone")
		return endpoint, false
	}
	state := l.decodeState(string(id), string(server.GetStringBytes(keyState)))
	backend, ok := l.backends.assign(string(id), server.Get(keyID).MarshalTo(nil), l.limits.maxBackends)
	if !ok {
		l.log.Warn("endpoint_skipped", "backend", string(id), "reason", "too many backends")
		return endpoint, false
	}
	weight, _ := numberAt(server, keyWeight)       // 0 if it cannot be used
	startedAt, _ := numberAt(server, keyStartedAt) // 0, long ago, if it cannot be used
	return balancer.Endpoint{Backend: backend, State: state, StartedAt: settings.FromMilliseconds(startedAt), Weight: weight,
		Zone: zone}, true
}

// decodeState reads the state of an endpoint; an unknown one is taken for draining, which is the careful reading.
func (l *eventLoop) decodeState(id, state string) balancer.EndpointState {
	switch state {
	case stateReady:
		return balancer.Ready
	case stateRemoved:
		return balancer.Removed
	case stateDraining:
	default:
		l.log.Warn("endpoint_state_unknown", "backend", id, "state", state, "treated_as", stateDraining)
	}
	return balancer.Draining
}
