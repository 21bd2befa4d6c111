// Package simwire serves the simulator's wire: it reads frames of events, hands each to the balancer of the instance
// that it names, and answers with the actions that the balancer asked for.
//
// codes.go maps the wire's words to the field's terms, layout.go has the positions of fields, frame.go frames and records,
// server.go the instances, events.go what events mean, and host.go what actions are made of. Ids of the wire become small
// indices here, in the order in which they are first met. Nothing is decided in this package.
package simwire

import (
	"fmt"
	"io"

	"wheelrill/balancer"
	"wheelrill/internal/settings"
)

const (
	maxEndpointLists = 16
	maxWarnings      = 200 // different ones; beyond them the input is not this wire
)

// Server hosts the instances that a simulator drives. Not safe for concurrent use: one frame is handled at a time.
type Server struct {
	log           io.Writer
	warned        map[string]bool
	instances     map[uint16]*instance
	endpointLists [maxEndpointLists][]byte // as they came, by number
	now           int64                    // simulated time of the frame in hand, µs
	reply         Reply
}

// NewServer makes a server without instances. What is odd on the wire is written to log, each text once.
func NewServer(log io.Writer) *Server {
	return &Server{log: log, warned: map[string]bool{}, instances: map[uint16]*instance{}}
}

func (s *Server) warn(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	if s.warned[line] || len(s.warned) >= maxWarnings {
		return
	}
	s.warned[line] = true
	fmt.Fprintln(s.log, "simadapter:", line) // a failing log is no reason to stop
}

// Handle plays one frame. The reply is valid until the next call; an error means that the frame was not this wire.
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

// handleEvent acts on what concerns the server itself, and hands the rest to its instance. Only an event that points
// outside of its frame is an error; others that cannot be used are skipped with a warning.
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
	s.endpointLists[number] = append([]byte(nil), entries...) // the frame's bytes are used again
	return nil
}

// createInstance starts a balancer with the settings in the frame. One whose settings cannot be used aborts, and the
// others go on.
func (s *Server) createInstance(r record) error {
	text, err := r.tailOf(createSettingsAt, 1)
	if err != nil {
		return err
	}
	in := &instance{server: s, id: r.instanceID()}
	s.instances[in.id] = in
	read := settings.ParseLines(string(text), s.warn)
	config := balancer.Config{
		Seed:      r.u64(createSeedAt),
		Channel:   read.PushChannel(),
		Rules:     read.RuleLimits(),
		Classes:   read.Classes(),
		Sharding:  read.Sharding(),
		Telemetry: read.Telemetry(),
		Admission: read.AdmissionMode(),
	}
	config.Channel.LimitLines = float64(len(config.Classes)) // this wire repeats the limits of all tables with each message
	in.loadFields = read.LoadFields()
	in.classes = len(config.Classes)
	in.zones = len(read.Zones())
	in.shards = config.Sharding.Count
	err = read.Err()
	if err == nil {
		in.abortOnPanic(func() { in.balancer, err = balancer.New(in, config) })
	}
	if err != nil {
		s.reply.addText(actionAbort, in.id, err.Error())
	}
	return nil
}
