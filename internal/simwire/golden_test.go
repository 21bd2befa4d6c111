package simwire

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"testing"

	"wheelrill/balancer"
	"wheelrill/internal/golden"
)

// field is a value at a byte position of a record.
type field struct {
	at    int
	value any
}

// eventRecord returns the bytes of an event.
func eventRecord(code byte, fields ...field) []byte {
	r := make([]byte, eventSize)
	r[0] = code
	for _, f := range fields {
		put(r[f.at:], f.value)
	}
	return r
}

// put encodes a value at the start of a buffer.
func put(to []byte, value any) {
	if err := func() error { _, err := binary.Encode(to, binary.LittleEndian, value); return err }(); err != nil {
		panic(err)
	}
}

// endpointEntry returns the bytes of one entry of an endpoint list.
func endpointEntry(id uint32, state, zone byte, started float64, weight float32) []byte {
	e := make([]byte, endpointSize)
	put(e, started)
	e[10] = state
	put(e[11:], weight)
	e[17] = zone
	put(e[18:], id)
	return e
}

// frameAt returns the bytes of a frame with a number and a clock time in milliseconds.
func frameAt(clock float64, number uint32, tail []byte, records ...[]byte) []byte {
	raw := frame(tail, records...)
	put(raw[4:], clock)
	put(raw[16:], number)
	return raw
}

// hexDump returns a reply as text: its header and actions in hex, and its tail as a quoted string.
func hexDump(reply []byte) string {
	text := "  head " + hex.EncodeToString(reply[:replyHeaderSize]) + "\n"
	rest := reply[replyHeaderSize:]
	for range binary.LittleEndian.Uint32(reply) {
		text += "  " + hex.EncodeToString(rest[:actionSize]) + "\n"
		rest = rest[actionSize:]
	}
	return text + fmt.Sprintf("  tail %q\n", rest)
}

// Code of a log action, and byte positions of its text field: offset, length and end.
const (
	logActionCode   = 67
	textOffsetAt    = 3
	textLengthAt    = 7
	logTextFieldEnd = 11
)

// hexDumpWithoutLogTexts returns the hexDump of a reply without the texts of its log lines, and
// these texts separately: they are for operators and have a golden file of their own. In the dump
// their offsets and lengths are 0, and the reply's length does not include them.
func hexDumpWithoutLogTexts(reply []byte) (dump string, logTexts []string) {
	reply = bytes.Clone(reply)
	count := int(binary.LittleEndian.Uint32(reply))
	tail := reply[replyHeaderSize+count*actionSize:]
	tailWithoutLogs, removed := tail, 0
	for i := range count {
		action := reply[replyHeaderSize+i*actionSize:][:actionSize]
		if action[0] != logActionCode {
			continue
		}
		offset := binary.LittleEndian.Uint32(action[textOffsetAt:])
		length := binary.LittleEndian.Uint32(action[textLengthAt:])
		line := string(tail[offset:][:length])
		logTexts = append(logTexts, line)
		tailWithoutLogs = bytes.Replace(tailWithoutLogs, []byte(line), nil, 1)
		removed += len(line)
		clear(action[textOffsetAt:logTextFieldEnd])
	}
	length := binary.LittleEndian.Uint32(reply[replyLengthAt:])
	binary.LittleEndian.PutUint32(reply[replyLengthAt:], length-uint32(removed))
	return hexDump(append(reply[:replyHeaderSize+count*actionSize], tailWithoutLogs...)), logTexts
}

// eventScript is a sequence of frames as a simulator sends them, in the order of their clock times.
type eventScript struct {
	frames []scriptedFrame
}

type scriptedFrame struct {
	clock   float64 // clock time of the frame in milliseconds
	tail    []byte
	records [][]byte
}

func (s *eventScript) addFrame(clock float64, tail []byte, records ...[]byte) {
	s.frames = append(s.frames, scriptedFrame{clock, tail, records})
}

// timer is a timer that an instance has set.
type timer struct {
	due      float64 // clock time at which the timer fires, in milliseconds
	instance uint16
	tag      uint64
}

const pollingSettings = `azs=a,b
familyInfo.admission=fraction
familyInfo.backlog=900
familyInfo.egressPerS=900
familyInfo.overhead=4
familyInfo.pushDelayMax=662.5
familyInfo.reportEvery=1000
familyInfo.proxyCount=3
limits.mayProbe=true
membershipMode=subscribe
profiles.count=2
profiles.0.deadline=4000
profiles.0.target=1500
profiles.1.deadline=2000
profiles.1.target=800
profiles.1.worth=2
familyInfo.classWrites=true,false
reporting.fields=cpu,waiting,avg_ms
reporting.how=piggyback
rules.askWithin=10000
rules.coldShare=0.16
rules.droppedStayOpen=true
rules.rampTime=17000
rules.stopSendingWithin=3000
weights=live
`

const shardSettings = `azs=a,b
familyInfo.admission=per_second
familyInfo.backlog=900
familyInfo.egressPerS=900
familyInfo.overhead=4
familyInfo.pushDelayMax=662.5
familyInfo.reportEvery=1000
familyInfo.partitionsN=4
familyInfo.singleWriter=true
familyInfo.keepsWriting=2000
familyInfo.lingers=1500
membershipMode=automatic
profiles.count=1
profiles.0.deadline=4000
profiles.0.target=1500
rules.coldShare=0.16
rules.rampTime=17000
rules.stopSendingWithin=3000
`

// newEventScript returns a script with every event code and three instances: one that checks
// backends' health and polls the endpoint list, one with shards, and one with unusable settings.
func newEventScript() *eventScript {
	s := &eventScript{}
	start := func(id uint16, seed uint64, at, size int) []byte {
		return eventRecord(0, field{1, id}, field{3, seed}, field{11, uint32(at)}, field{15, uint32(size)})
	}
	unusableSettings := strings.Replace(pollingSettings, "familyInfo.backlog", "familyInfo.Backlogs", 1)
	s.addFrame(0, []byte(pollingSettings+shardSettings+unusableSettings), start(1, 7, 0, len(pollingSettings)),
		start(2, 8, len(pollingSettings), len(shardSettings)),
		start(3, 9, len(pollingSettings)+len(shardSettings), len(unusableSettings)))
	var list []byte
	for i := range 6 {
		list = append(list, endpointEntry(uint32(100+i), 1, byte(i%2), float64(i*10), 1)...)
	}
	list = append(list, endpointEntry(106, 2, 0, 0, 1)...)
	list = append(list, endpointEntry(107, 9, 1, 0, 0.5)...)
	list = append(list, endpointEntry(108, 1, 7, 0, 1)...)
	endpointList := func(number, at, count int) []byte {
		return eventRecord(14, field{1, uint32(number)}, field{5, uint32(at)}, field{9, uint32(count)})
	}
	endpointsUpdated := func(id uint16, number int, kind byte) []byte {
		return eventRecord(1, field{1, id}, field{3, uint32(number)}, field{7, kind})
	}
	proxyConnected := func(id, proxy uint16, zone byte) []byte {
		return eventRecord(6, field{1, id}, field{4, float32(1)}, field{8, zone}, field{9, proxy})
	}
	s.addFrame(1, list, endpointList(0, 0, 9), endpointList(16, 0, 1), endpointsUpdated(1, 0, 1),
		endpointsUpdated(2, 0, 0), endpointsUpdated(1, 0, 4), endpointsUpdated(1, 16, 1))
	s.addFrame(2, nil, proxyConnected(1, 40, 0), proxyConnected(1, 41, 1), proxyConnected(1, 42, 0),
		proxyConnected(2, 50, 0), proxyConnected(2, 51, 1), proxyConnected(1, 43, 5))
	for shard := range uint16(4) {
		s.addFrame(3, nil,
			eventRecord(13, field{1, uint16(2)}, field{3, shard}, field{5, uint32(100 + shard)}, field{9, float32(1)}),
			eventRecord(12, field{1, uint16(2)}, field{3, shard}, field{5, byte(1)}))
	}
	s.addFrame(4, nil, eventRecord(12, field{1, uint16(2)}, field{3, uint16(1)}, field{5, byte(0)}),
		eventRecord(4, field{1, uint16(1)}), eventRecord(99))
	for second := 1; second <= 40; second++ {
		clock := float64(second * 1000)
		var events [][]byte
		for b := range uint32(6) {
			attempts, failures := uint32(50), uint32(0)
			if b == 2 && second > 5 && second < 12 {
				failures = 50
			}
			mean := 300.0
			if second > 20 && second < 30 {
				mean = 4000
			}
			outcomes := func(id uint16) []byte {
				return eventRecord(9, field{1, id}, field{3, byte(b % 2)}, field{4, 100 + b}, field{8, attempts},
					field{12, failures}, field{16, mean}, field{24, 2 * mean}, field{32, byte(3)},
					field{33, float32(0.9)}, field{37, float32(mean / 100)}, field{41, float32(0.2)})
			}
			events = append(events, outcomes(1), outcomes(2))
		}
		for p := range uint16(3) {
			events = append(events,
				eventRecord(10, field{1, uint16(1)}, field{3, 40 + p}, field{5, byte(p % 2)},
					field{6, uint32(200 * (1 + second/20))}, field{14, 1000.0}),
				eventRecord(8, field{1, uint16(1)}, field{3, 40 + p}, field{5, uint64(second)}))
		}
		for shard := range uint16(4) {
			events = append(events, eventRecord(11, field{1, uint16(2)}, field{3, shard}, field{5, byte(0)},
				field{6, uint32(150)}, field{14, 1000.0}))
		}
		for code := range uint16(8) {
			events = append(events, eventRecord(3, field{1, uint16(1)}, field{3, uint32(100 + code%6)}, field{7, code}))
		}
		s.addFrame(clock, nil, events...)
		if second == 15 {
			s.addFrame(clock+1, nil, endpointsUpdated(1, 0, 3),
				eventRecord(7, field{1, uint16(1)}, field{3, uint16(41)}))
		}
		if second == 18 {
			list[10], list[endpointSize+10] = 2, 0
			s.addFrame(clock+1, list, endpointList(0, 0, 6), endpointsUpdated(1, 0, 0), endpointsUpdated(2, 0, 1))
		}
	}
	s.addFrame(41_000, nil, eventRecord(5, field{1, uint16(1)}), eventRecord(2, field{1, uint16(1)}),
		eventRecord(2, field{1, uint16(2)}))
	return s
}

// TestRepliesMatchGoldenFiles guards against any change of the replies to the simulator. It runs a
// script with every event code and compares all bytes of the replies, the logged lines, and the
// warnings.
func TestRepliesMatchGoldenFiles(t *testing.T) {
	var log strings.Builder
	server, body, text, number := NewServer(&log), bytes.Buffer{}, "", uint32(0)
	logLines := ""
	seen, timers := map[byte]bool{}, []timer{}
	exchange := func(clock float64, tail []byte, records ...[]byte) {
		t.Helper()
		number++
		input := bytes.NewReader(frameAt(clock, number, tail, records...))
		frame, err := ReadFrame(input, &body)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range records {
			seen[r[0]] = true
		}
		reply, err := server.Handle(frame)
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		if n, err := reply.WriteTo(&out); err != nil || n != int64(out.Len()) {
			t.Fatalf("wrote %d of %d bytes: %v", n, out.Len(), err)
		}
		dump, logTexts := hexDumpWithoutLogTexts(out.Bytes())
		text += fmt.Sprintf("frame %d at %v ms\n", frame.Number, frame.Clock) + dump
		for _, line := range logTexts {
			logLines += fmt.Sprintf("frame %d: %s\n", number, line)
		}
		for i := range int(binary.LittleEndian.Uint32(out.Bytes())) {
			action := out.Bytes()[replyHeaderSize+i*actionSize:]
			if action[0] == 64 {
				wait := math.Float64frombits(binary.LittleEndian.Uint64(action[3:]))
				instance, tag := binary.LittleEndian.Uint16(action[1:]), binary.LittleEndian.Uint64(action[11:])
				timers = append(timers, timer{clock + wait, instance, tag})
			}
		}
	}
	for _, frame := range newEventScript().frames {
		for {
			slices.SortStableFunc(timers, func(a, b timer) int { return cmp.Compare(a.due, b.due) })
			if len(timers) == 0 || timers[0].due > frame.clock {
				break
			}
			next := timers[0]
			timers = timers[1:]
			exchange(next.due, nil, eventRecord(2, field{1, next.instance}, field{3, next.tag}))
		}
		exchange(frame.clock, frame.tail, frame.records...)
	}
	for code := range byte(15) {
		if !seen[code] {
			t.Errorf("the script has no event with code %d", code)
		}
	}
	for _, code := range []byte{64, 65, 67, 68, 69, 71, 73, 74, 75, 76} {
		if !strings.Contains(text, fmt.Sprintf("\n  %02x0", code)) {
			t.Errorf("no reply has an action with code %d", code)
		}
	}
	text += "complaints\n"
	for line := range strings.Lines(log.String()) {
		_, warning, _ := strings.Cut(line, ": ") // without the program's name, which begins each log line
		text += warning
	}
	golden.Compare(t, "replies.golden", text)
	golden.Compare(t, "replies-log.golden", logLines)
}

// TestActionsMatchGoldenFile guards against any change of an action's bytes. Fields have different
// values, so that swapped fields are detected.
func TestActionsMatchGoldenFile(t *testing.T) {
	text := ""
	for _, action := range []struct {
		name string
		call func(in *instance)
	}{
		{"sleep 1234.567 ms, tag 0x0102030405060708",
			func(in *instance) { in.SetTimer(1_234_567, 0x0102030405060708) }},
		{"check backend 77001", func(in *instance) { in.CheckHealth(1) }},
		{"emit about backend 77001", func(in *instance) { in.Log(1, "is back") }},
		{"emit about none", func(in *instance) { in.Log(-1, "began") }},
		{"listen", func(in *instance) { in.PollEndpoints() }},
		{"weight 0.75 of backend 77001 in table 258", func(in *instance) { in.PublishEntry(258, 1, 0.75) }},
		{"bind proxy 515 to table 258, classes 0x0a05", func(in *instance) { in.AssignTable(258, 1, 0x0a05) }},
		{"withdraw backend 77001", func(in *instance) { in.Withdraw(1, true) }},
		{"restore backend 77001", func(in *instance) { in.Withdraw(1, false) }},
		{"level 0.5 in table 258, classes 0x0a05, tries 2",
			func(in *instance) { in.SetAdmissionLimit(258, 0x0a05, 0.5, 2) }},
		{"level 1200 everywhere, classes 1, tries 0",
			func(in *instance) { in.SetAdmissionLimit(balancer.AllTables, 1, 1200, 0) }},
		{"mark 77 of those that are reached", func(in *instance) { in.RequestAck(77, false) }},
		{"mark 78 of all", func(in *instance) { in.RequestAck(78, true) }},
		{"nothing for a proxy that came later", func(in *instance) {
			in.SyncWithdrawals(1, 1, 0)
			in.ClearWithdrawals(1)
		}},
		{"panic", func(in *instance) { in.abortOnPanic(func() { panic("broken") }) }},
	} {
		server := NewServer(io.Discard)
		in := &instance{server: server, id: 0x0403}
		for _, id := range []uint32{77000, 77001} {
			in.backends.numberOf(id)
		}
		for _, id := range []uint32{514, 515} {
			in.proxies.numberOf(id)
		}
		server.reply.Reset(9)
		action.call(in)
		var out bytes.Buffer
		if _, err := server.reply.WriteTo(&out); err != nil {
			t.Fatal(err)
		}
		text += action.name + "\n" + hexDump(out.Bytes())
	}
	golden.Compare(t, "actions.golden", text)
}

// TestRefusedFramesMatchGoldenFile guards against malformed frames that are accepted, or refused
// with another error.
func TestRefusedFramesMatchGoldenFile(t *testing.T) {
	validFrame := frameAt(5, 3, []byte(pollingSettings),
		eventRecord(0, field{1, uint16(1)}, field{15, uint32(len(pollingSettings))}))
	withValue := func(at int, value any) []byte {
		raw := bytes.Clone(validFrame)
		put(raw[at:], value)
		return raw
	}
	text := ""
	for _, input := range []struct {
		name string
		raw  []byte
	}{
		{"empty", nil}, {"cut in the head", validFrame[:7]}, {"cut in the records", validFrame[:40]},
		{"cut in the tail", validFrame[:len(validFrame)-1]},
		{"a length that never comes", withValue(0, uint32(1<<31))},
		{"more records than bytes", withValue(12, uint32(1<<30))},
		{"a clock that is not a number", withValue(4, math.NaN())}, {"a clock without end", withValue(4, math.Inf(1))},
		{"settings outside the tail", withValue(frameHeaderSize+15, uint32(5000))},
		{"a list outside the tail", frameAt(5, 3, nil, eventRecord(14, field{9, uint32(1)}))},
	} {
		server, body, in, err := NewServer(io.Discard), bytes.Buffer{}, bytes.NewReader(input.raw), error(nil)
		for err == nil {
			var frame Frame
			if frame, err = ReadFrame(in, &body); err == nil {
				_, err = server.Handle(frame)
			}
		}
		text += fmt.Sprintf("%s: %v\n", input.name, err)
	}
	golden.Compare(t, "refused.golden", text)
}
