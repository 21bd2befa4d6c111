package controller

import (
	"github.com/valyala/fastjson"

	"wheelrill/balancer"
	"wheelrill/internal/settings"
)

// endpointsUpdated applies a discovery list, which holds all endpoints (full) or only the changed
// ones.
func (l *eventLoop) endpointsUpdated(full bool, version int64, servers []*fastjson.Value) {
	endpoints := make([]balancer.Endpoint, 0, len(servers))
	listed := map[int]bool{} // by backend index; false if the list marks the backend as removed
	for _, server := range servers {
		if endpoint, ok := l.decodeEndpoint(server); ok {
			endpoints = l.withOverrides(endpoints, endpoint)
			if endpoint.StartedAt > 0 {
				l.noteMaybeWithdrawn(endpoint.Backend) // it may have left before it started
			}
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

// withOverrides appends an endpoint to a list, with the overrides that distributed configuration
// has for its backend.
func (l *eventLoop) withOverrides(to []balancer.Endpoint, endpoint balancer.Endpoint) []balancer.Endpoint {
	if l.overrides == nil {
		return append(to, endpoint)
	}
	l.overrides.storeListed(endpoint)
	return l.overrides.appendMerged(to, l.backends.ids[endpoint.Backend], endpoint)
}

// decodeEndpoint reads an endpoint of a list, and assigns its backend an index. It logs and skips
// an invalid endpoint.
func (l *eventLoop) decodeEndpoint(server *fastjson.Value) (endpoint balancer.Endpoint, ok bool) {
	id := server.GetStringBytes(keyID)
	zone, known := l.zoneIndex[string(server.GetStringBytes(keyListZone))]
	if len(id) == 0 || len(id) > l.limits.maxIDBytes || !known {
		l.log.Warn("endpoint_skipped", "backend", string(id[:min(len(id), l.limits.maxIDBytes)]),
			"reason", "id missing or too long, or unknown zone")
		return endpoint, false
	}
	state := l.decodeState(string(id), string(server.GetStringBytes(keyState)))
	backend, ok := l.backends.assign(string(id), server.Get(keyID).MarshalTo(nil), l.limits.maxBackends)
	if !ok {
		l.log.Warn("endpoint_skipped", "backend", string(id), "reason", "the maximum number of backends is reached")
		return endpoint, false
	}
	weight, _ := numberAt(server, keyWeight)       // a missing or invalid weight counts as 0
	startedAt, _ := numberAt(server, keyStartedAt) // a missing or invalid start time counts as 0, which means long ago
	return balancer.Endpoint{Backend: backend, State: state, StartedAt: settings.FromMilliseconds(startedAt), Weight: weight,
		Zone: zone}, true
}

// decodeState reads the state of an endpoint. It treats an unknown state as draining, which is the
// safe choice: the backend gets no new requests.
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
