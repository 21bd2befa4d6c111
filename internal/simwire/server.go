// Package simwire implements the simulator's binary protocol: it reads frames of events, passes
// each event to the balancer of the instance that the event is for, and replies with the actions
// that the balancer ordered.
//
// codes.go maps the protocol's words to the terms of load balancing, layout.go has the positions of
// fields, frame.go reads frames and writes replies, server.go manages the instances, events.go
// decodes events, and host.go encodes actions. Ids of the protocol are converted to consecutive
// numbers, in the order in which the ids first occur. This package makes no balancing decisions.
package simwire

import (
	"fmt"
	"io"

	"wheelrill/balancer"
	"wheelrill/internal/settings"
)

const (
	maxEndpointLists = 16
	// maxWarnings limits the number of different warnings; further warnings are dropped. Input that
	// causes more warnings does not follow this protocol.
	maxWarnings = 200
)

// Server holds the instances that a simulator drives. It is not safe for concurrent use: it handles
// one frame at a time.
type Server struct {
	log           io.Writer
	warned        map[string]bool // texts of all warnings written so far
	instances     map[uint16]*instance
	endpointLists [maxEndpointLists][]byte // entries of the endpoint lists as received, by list number
	now           int64                    // simulated time of the current frame, in microseconds
	reply         Reply
}

// NewServer returns a server without instances. It writes warnings about unusable events to log,
// each text once.
func NewServer(log io.Writer) *Server {
	return &Server{log: log, warned: map[string]bool{}, instances: map[uint16]*instance{}}
}

func (s *Server) warn(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	if s.warned[line] || len(s.warned) >= maxWarnings {
		return
	}
	s.warned[line] = true
	fmt.Fprintln(s.log, "simadapter:", line) // if the write of a warning fails, the server continues
}

// Handle handles the events of one frame. The reply is valid until the next call. An error means
// that the frame does not follow the protocol.
func (s *Server) Handle(frame Frame) (*Reply, error) {
	s.reply.Reset(frame.Number)
	s.now = settings.FromMilliseconds(frame.Clock)
	for i := range frame.EventCount() {
		if err := s.handleEvent(frame.event(i)); err != nil {
			return nil, fmt.Errorf("frame %d, event %d: %w", frame.Number, i, err)
		}
	}
	return &s.reply, nil
}

// handleEvent handles the events that create or end an instance or contain an endpoint list, and
// passes all other events to their instances. Only an event that refers to bytes outside its frame
// is an error; other unusable events are skipped with a warning.
func (s *Server) handleEvent(r record) error {
	switch code := r.code(); {
	case code > lastEvent:
		s.warn("event code %d is not known", code)
		return nil
	case code == eventEndpointList:
		return s.storeEndpointList(r)
	case code == eventCreate:
		return s.createInstance(r)
	case code == eventKilled:
		delete(s.instances, r.instanceID())
		return nil
	}
	in := s.instances[r.instanceID()]
	if in == nil {
		s.warn("instance %d does not exist", r.instanceID())
		return nil
	}
	in.handle(r)
	return nil
}

// storeEndpointList stores a list for later events that refer to it by number.
func (s *Server) storeEndpointList(r record) error {
	entries, err := r.tailOf(listEntriesAt, endpointSize)
	if err != nil {
		return err
	}
	number := r.u32(listNumberAt)
	if number >= maxEndpointLists {
		s.warn("list number %d is not known", number)
		return nil
	}
	s.endpointLists[number] = append([]byte(nil), entries...) // a copy: the next frame overwrites the buffer of entries
	return nil
}

// createInstance starts an instance with the settings in the frame. If the settings are unusable,
// only this instance aborts.
func (s *Server) createInstance(r record) error {
	text, err := r.tailOf(createSettingsAt, 1)
	if err != nil {
		return err
	}
	in := &instance{server: s, id: r.instanceID()}
	s.instances[in.id] = in
	instanceSettings := settings.ParseLines(string(text), s.warn)
	config := balancer.Config{
		Seed:      r.u64(createSeedAt),
		Channel:   instanceSettings.PushChannel(),
		Rules:     instanceSettings.RuleLimits(),
		Classes:   instanceSettings.Classes(),
		Sharding:  instanceSettings.Sharding(),
		Telemetry: instanceSettings.Telemetry(),
		Admission: instanceSettings.AdmissionMode(),
	}
	// In this protocol, each message to a proxy repeats the admission limits of all tables, which
	// costs one line (the unit of cost in the push channel) for each class.
	config.Channel.LimitLines = float64(len(config.Classes))
	in.loadFields = instanceSettings.LoadFields()
	in.classes = len(config.Classes)
	in.zones = len(instanceSettings.Zones())
	in.shards = config.Sharding.Count
	err = instanceSettings.Err()
	if err == nil {
		in.abortOnPanic(func() { in.balancer, err = balancer.New(in, config) })
	}
	if err != nil {
		s.reply.addText(actionAbort, in.id, err.Error())
	}
	return nil
}
