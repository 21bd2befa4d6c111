package simwire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"wheelrill/balancer"
	"wheelrill/internal/settings"
)

const (
	evCreate, evFleet, evElapsed, evChecked, evPeer, evKilled, evEnrolled = 0, 1, 2, 3, 4, 5, 6
	evLost, evAcked, evStats, evArrivals, evPressure, evTenure            = 7, 8, 9, 10, 11, 12
	evOnRecord, evRoster                                                  = 13, 14

	acSleep, acCheck, acEmit, acBail, acListen, acSetWeight = 64, 65, 67, 68, 69, 71
	acSuspend, acPin, acLevel, acSeal                       = 73, 74, 75, 76

	lists = 16
)

// Door takes batches to the instances that this process hosts, and their orders back.
type Door struct {
	complaints io.Writer
	said       map[string]bool
	instances  map[uint16]*instance
	rosters    [lists][]byte
	clock      int64
	reply      Reply
}

// NewDoor makes a door without instances; what is odd on the wire is said once on complaints.
func NewDoor(complaints io.Writer) *Door {
	return &Door{complaints: complaints, said: map[string]bool{}, instances: map[uint16]*instance{}}
}

func (d *Door) odd(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	const most = 200 // different complaints; beyond these the wire is not ours
	if !d.said[line] && len(d.said) < most {
		d.said[line] = true
		fmt.Fprintln(d.complaints, "simadapter:", line)
	}
}

// Handle plays one batch and gives the reply to it.
func (d *Door) Handle(batch Batch) (*Reply, error) {
	d.reply.Reset(batch.Seq)
	d.clock = settings.Microseconds(batch.Clock)
	for i := range batch.Events() {
		if err := d.take(batch.event(i)); err != nil {
			return nil, fmt.Errorf("frame %d, event %d: %w", batch.Seq, i, err)
		}
	}
	return &d.reply, nil
}

func (d *Door) take(r record) error {
	if r.code() == evRoster {
		entries, err := r.tailOf(5, entrySize)
		if err != nil {
			return err
		}
		number := r.u32(1)
		if number >= lists {
			d.odd("list number %d is not known", number)
			return nil
		}
		d.rosters[number] = append(d.rosters[number][:0:0], entries...)
		return nil
	}
	if r.code() > evRoster {
		d.odd("event code %d is not known", r.code())
		return nil
	}
	id := r.u16(1)
	switch r.code() {
	case evCreate:
		text, err := r.tailOf(11, 1)
		if err != nil {
			return err
		}
		d.create(id, r.u64(3), string(text))
		return nil
	case evKilled:
		delete(d.instances, id)
		return nil
	}
	in := d.instances[id]
	if in == nil {
		d.odd("instance %d does not exist", id)
		return nil
	}
	if in.control != nil {
		in.guarded(func() { in.hear(r) })
	}
	return nil
}

func (d *Door) create(id uint16, seed uint64, text string) {
	in := &instance{door: d, id: id}
	d.instances[id] = in
	f := settings.Lines(text, d.odd)
	channel, limits, classes := f.PushChannel(), f.RuleLimits(), f.Classes()
	channel.LimitLines = float64(len(classes)) // this wire repeats the levels of all tables with each message
	partition, sight, admission := f.Sharding(), f.Telemetry(), f.AdmissionMode()
	in.fields, in.classes = f.LoadFields(), len(classes)
	in.zones, in.slices = len(f.Zones()), partition.Count
	if err := f.Err(); err != nil {
		d.reply.text(acBail, id, err.Error())
		return
	}
	in.guarded(func() {
		in.control = balancer.New(in, seed, classes, channel, limits, partition, sight, admission)
	})
}

// index gives small numbers to ids in the order in which they are first met.
type index struct {
	of  map[uint32]int
	ids []uint32
}

func (x *index) number(id uint32) int {
	if n, ok := x.of[id]; ok {
		return n
	}
	if x.of == nil {
		x.of = map[uint32]int{}
	}
	x.of[id] = len(x.ids)
	x.ids = append(x.ids, id)
	return len(x.ids) - 1
}

// instance is one controller behind the door; it is the Host of its decisions.
type instance struct {
	door              *Door
	id                uint16
	control           *balancer.Controller
	fields            []string
	classes, zones    int
	slices            int
	backends, proxies index
}

// guarded turns a panic of the module into the end of this instance alone.
func (in *instance) guarded(call func()) {
	defer func() {
		if trouble := recover(); trouble != nil {
			in.control = nil
			in.door.reply.text(acBail, in.id, fmt.Sprint(trouble))
		}
	}()
	call()
}

func (in *instance) hear(r record) {
	switch r.code() {
	case evFleet:
		in.fleet(r)
	case evElapsed:
		in.control.TimerFired(r.u64(3))
	case evChecked:
		if b, ok := in.known(&in.backends, r.u32(3), "backend"); ok {
			in.control.HealthCheckCompleted(b, in.outcome(r.u16(7)))
		}
	case evPeer:
		in.door.odd("a peer message came, though we never send one")
	case evEnrolled:
		if in.in(int(r.u8(8)), in.zones, "zone") {
			in.control.ProxyConnected(in.proxies.number(uint32(r.u16(9))), int(r.u8(8)), r.f32(4), false)
		}
	case evLost:
		if p, ok := in.known(&in.proxies, uint32(r.u16(3)), "proxy"); ok {
			in.control.ProxyDisconnected(p)
		}
	case evAcked:
		if p, ok := in.known(&in.proxies, uint32(r.u16(3)), "proxy"); ok {
			in.control.Acknowledged(p, int(r.u64(5)&math.MaxUint16))
		}
	case evStats:
		if b, ok := in.known(&in.backends, r.u32(4), "backend"); ok && in.in(int(r.u8(3)), in.zones, "zone") {
			tries := int(r.u32(8))
			failed := min(int(r.u32(12)), tries)
			in.control.OutcomesReported(b, tries, failed, settings.Microseconds(r.f64(16)), settings.Microseconds(r.f64(24)), in.load(r, 32))
		}
	case evArrivals:
		if p, ok := in.known(&in.proxies, uint32(r.u16(3)), "proxy"); ok && in.in(int(r.u8(5)), in.classes, "class") {
			in.control.DemandReported(p, int(r.u8(5)), int(r.u32(6)), settings.Microseconds(r.f64(14)))
		}
	case evPressure:
		if in.in(int(r.u16(3)), in.slices, "slice") && in.in(int(r.u8(5)), in.classes, "class") {
			in.control.ShardDemandReported(int(r.u16(3)), int(r.u8(5)), int(r.u32(6)), settings.Microseconds(r.f64(14)))
		}
	case evTenure:
		if in.in(int(r.u16(3)), in.slices, "slice") {
			if r.u8(5) != 0 {
				in.control.ShardAssigned(int(r.u16(3)))
			} else {
				in.control.ShardRevoked(int(r.u16(3)))
			}
		}
	case evOnRecord:
		if in.in(int(r.u16(3)), in.slices, "slice") {
			in.control.ShardOwnerStored(int(r.u16(3)), in.backends.number(r.u32(5)), r.f32(9))
		}
	}
}

func (in *instance) in(n, count int, what string) bool {
	if n >= count {
		in.door.odd("%s %d does not exist", what, n)
	}
	return n < count
}

func (in *instance) known(x *index, id uint32, what string) (int, bool) {
	n, ok := x.of[id]
	if !ok {
		in.door.odd("%s %d was never named before", what, id)
	}
	return n, ok
}

func (in *instance) fleet(r record) {
	how := r.u8(7)
	switch {
	case how == 3:
		in.control.EndpointPollFailed()
		return
	case how > 3:
		in.door.odd("list event of unknown kind %d", how)
		return
	}
	number := r.u32(3)
	if number >= lists {
		in.door.odd("list number %d is not known", number)
		return
	}
	raw := in.door.rosters[number]
	entries := make([]balancer.Endpoint, 0, len(raw)/entrySize)
	for ; len(raw) >= entrySize; raw = raw[entrySize:] {
		e := record{raw: raw}
		condition := balancer.Draining // the careful reading of a word we do not know
		switch e.u8(10) {
		case 0:
			condition = balancer.Removed
		case 1:
			condition = balancer.Ready
		case 2:
		default:
			in.door.odd("backend condition %d is not known", e.u8(10))
		}
		if !in.in(int(e.u8(17)), in.zones, "zone") {
			continue
		}
		entries = append(entries, balancer.Endpoint{
			Backend: in.backends.number(e.u32(18)), State: condition, StartedAt: settings.Microseconds(e.f64(0)),
			Weight: e.f32(11), Zone: int(e.u8(17)),
		})
	}
	in.control.EndpointsUpdated(how != 0, entries)
}

func (in *instance) outcome(code uint16) balancer.HealthCheckResult {
	switch code {
	case 1:
		return balancer.HealthCheckPassed
	case 2:
		return balancer.HealthCheckFailed
	case 3:
		return balancer.HealthCheckRefused
	case 4:
		return balancer.HealthCheckTimedOut
	case 5:
		return balancer.HealthCheckUnreachable
	case 6:
		return balancer.HealthCheckBroken
	}
	in.door.odd("probe outcome %d is not known", code)
	return balancer.HealthCheckUnknown
}

func (in *instance) load(r record, at int) balancer.BackendLoad {
	load := balancer.BackendLoad{CPUUtilization: -1, QueueLength: -1, ServiceTime: -1}
	for i := range min(int(r.u8(at)), len(in.fields), 4) {
		switch x := r.f32(at + 1 + 4*i); in.fields[i] {
		case "cpu":
			load.CPUUtilization = x
		case "waiting":
			load.QueueLength = x
		case "avg_ms":
			load.ServiceTime = x * 1000
		}
	}
	return load
}

func (in *instance) Now() int64 { return in.door.clock }

func (in *instance) SetTimer(wait int64, tag uint64) {
	rec := in.door.reply.act(acSleep, in.id)
	binary.LittleEndian.PutUint64(rec[3:], math.Float64bits(millis(wait)))
	binary.LittleEndian.PutUint64(rec[11:], tag)
}

func (in *instance) Log(backend int, line string) {
	if backend >= 0 {
		line = fmt.Sprintf("backend %d %s", in.backends.ids[backend], line)
	}
	in.door.reply.text(acEmit, in.id, line)
}

func (in *instance) PollEndpoints() { in.door.reply.act(acListen, in.id)[3] = 1 }

func (in *instance) CheckHealth(backend int) {
	binary.LittleEndian.PutUint32(in.door.reply.act(acCheck, in.id)[3:], in.backends.ids[backend])
}

func (in *instance) PublishEntry(table, backend int, weight float64) {
	rec := in.door.reply.act(acSetWeight, in.id)
	binary.LittleEndian.PutUint16(rec[3:], uint16(table))
	binary.LittleEndian.PutUint32(rec[5:], in.backends.ids[backend])
	binary.LittleEndian.PutUint32(rec[9:], math.Float32bits(float32(weight)))
}

func (in *instance) AssignTable(table, proxy int, classes uint16) {
	rec := in.door.reply.act(acPin, in.id)
	binary.LittleEndian.PutUint16(rec[3:], uint16(table))
	binary.LittleEndian.PutUint16(rec[5:], uint16(in.proxies.ids[proxy]))
	binary.LittleEndian.PutUint16(rec[7:], classes)
}

func (in *instance) Withdraw(backend int, out bool) {
	rec := in.door.reply.act(acSuspend, in.id)
	binary.LittleEndian.PutUint32(rec[3:], in.backends.ids[backend])
	rec[7] = flag(out)
}

// SyncWithdrawals has no order on this wire: a withdrawal goes to all that have joined.
func (in *instance) SyncWithdrawals(int, float64, balancer.RetryPolicy) bool { return false }

// ClearWithdrawals has none either: a proxy that is bound observes the withdrawals of its instance alone.
func (in *instance) ClearWithdrawals(int) {}

func (in *instance) SetAdmissionLimit(table int, classes uint16, allowance float64, tries balancer.RetryPolicy) {
	rec := in.door.reply.act(acLevel, in.id)
	binary.LittleEndian.PutUint16(rec[3:], uint16(table))
	binary.LittleEndian.PutUint16(rec[5:], classes)
	binary.LittleEndian.PutUint32(rec[7:], math.Float32bits(float32(allowance)))
	rec[11] = byte(tries)
}

func (in *instance) RequestAck(number int, everyone bool) {
	rec := in.door.reply.act(acSeal, in.id)
	binary.LittleEndian.PutUint64(rec[3:], uint64(number))
	rec[11] = flag(everyone)
}

func flag(on bool) byte {
	if on {
		return 1
	}
	return 0
}
