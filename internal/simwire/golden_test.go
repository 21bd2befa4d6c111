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

// message builds a record of a code from fields.
func message(code byte, fields ...field) []byte {
	r := make([]byte, eventSize)
	r[0] = code
	for _, f := range fields {
		put(r[f.at:], f.value)
	}
	return r
}

func put(to []byte, value any) {
	if err := func() error { _, err := binary.Encode(to, binary.LittleEndian, value); return err }(); err != nil {
		panic(err)
	}
}

// listed builds one entry of a list of backends.
func listed(id uint32, condition, zone byte, started float64, weight float32) []byte {
	e := make([]byte, endpointSize)
	put(e, started)
	e[10] = condition
	put(e[11:], weight)
	e[17] = zone
	put(e[18:], id)
	return e
}

// framed builds a frame at a clock time in milliseconds.
func framed(clock float64, number uint32, tail []byte, records ...[]byte) []byte {
	raw := frame(tail, records...)
	put(raw[4:], clock)
	put(raw[16:], number)
	return raw
}

// hexed shows a reply by its head, its actions and its tail.
func hexed(reply []byte) string {
	text := "  head " + hex.EncodeToString(reply[:replyHeaderSize]) + "\n"
	rest := reply[replyHeaderSize:]
	for range binary.LittleEndian.Uint32(reply) {
		text += "  " + hex.EncodeToString(rest[:actionSize]) + "\n"
		rest = rest[actionSize:]
	}
	return text + fmt.Sprintf("  tail %q\n", rest)
}

// Positions in the record of a log line, and in the head of a reply.
const (
	logActionCode   = 67
	textOffsetAt    = 3
	textLengthAt    = 7
	logTextFieldEnd = 11
)

// hexedWithoutLogTexts shows a reply as hexed does, but gives the texts of log lines apart, as they are for people: their
// places and lengths count as 0, and the reply's length as if they were not in its tail.
func hexedWithoutLogTexts(reply []byte) (shown string, logTexts []string) {
	reply = bytes.Clone(reply)
	count := int(binary.LittleEndian.Uint32(reply))
	tail := reply[replyHeaderSize+count*actionSize:]
	kept, removed := tail, 0
	for i := range count {
		action := reply[replyHeaderSize+i*actionSize:][:actionSize]
		if action[0] != logActionCode {
			continue
		}
		offset, length := binary.LittleEndian.Uint32(action[textOffsetAt:]), binary.LittleEndian.Uint32(action[textLengthAt:])
		line := string(tail[offset:][:length])
		logTexts = append(logTexts, line)
		kept = bytes.Replace(kept, []byte(line), nil, 1)
		removed += len(line)
		clear(action[textOffsetAt:logTextFieldEnd])
	}
	binary.LittleEndian.PutUint32(reply[replyLengthAt:], binary.LittleEndian.Uint32(reply[replyLengthAt:])-uint32(removed))
	return hexed(append(reply[:replyHeaderSize+count*actionSize], kept...)), logTexts
}

// simulated is a stretch of a simulator's run: frames of events by time, with every event code.
type simulated struct {
	frames []simulatedFrame
}

type simulatedFrame struct {
	clock   float64
	tail    []byte
	records [][]byte
}

func (s *simulated) at(clock float64, tail []byte, records ...[]byte) {
	s.frames = append(s.frames, simulatedFrame{clock, tail, records})
}

// timer is a sleep that an instance asked for.
type timer struct {
	due      float64
	instance uint16
	tag      uint64
}

const probing = `azs=a,b
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

const sliced = `azs=a,b
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

// script has three instances: one that probes and asks for the list, one with slices and one that cannot start.
func script() *simulated {
	s := &simulated{}
	start := func(id uint16, seed uint64, at, size int) []byte {
		return message(0, field{1, id}, field{3, seed}, field{11, uint32(at)}, field{15, uint32(size)})
	}
	broken := strings.Replace(probing, "familyInfo.backlog", "familyInfo.Backlogs", 1)
	s.at(0, []byte(probing+sliced+broken), start(1, 7, 0, len(probing)), start(2, 8, len(probing), len(sliced)),
		start(3, 9, len(probing)+len(sliced), len(broken)))
	var list []byte
	for i := range 6 {
		list = append(list, listed(uint32(100+i), 1, byte(i%2), float64(i*10), 1)...)
	}
	list = append(list, listed(106, 2, 0, 0, 1)...)
	list = append(list, listed(107, 9, 1, 0, 0.5)...)
	list = append(list, listed(108, 1, 7, 0, 1)...)
	roster := func(number, at, count int) []byte {
		return message(14, field{1, uint32(number)}, field{5, uint32(at)}, field{9, uint32(count)})
	}
	fleet := func(id uint16, number int, how byte) []byte {
		return message(1, field{1, id}, field{3, uint32(number)}, field{7, how})
	}
	joined := func(id, proxy uint16, zone byte) []byte {
		return message(6, field{1, id}, field{4, float32(1)}, field{8, zone}, field{9, proxy})
	}
	s.at(1, list, roster(0, 0, 9), roster(16, 0, 1), fleet(1, 0, 1), fleet(2, 0, 0), fleet(1, 0, 4), fleet(1, 16, 1))
	s.at(2, nil, joined(1, 40, 0), joined(1, 41, 1), joined(1, 42, 0), joined(2, 50, 0), joined(2, 51, 1), joined(1, 43, 5))
	for slice := range uint16(4) {
		s.at(3, nil, message(13, field{1, uint16(2)}, field{3, slice}, field{5, uint32(100 + slice)}, field{9, float32(1)}),
			message(12, field{1, uint16(2)}, field{3, slice}, field{5, byte(1)}))
	}
	s.at(4, nil, message(12, field{1, uint16(2)}, field{3, uint16(1)}, field{5, byte(0)}), message(4, field{1, uint16(1)}), message(99))
	for second := 1; second <= 40; second++ {
		clock := float64(second * 1000)
		var events [][]byte
		for b := range uint32(6) {
			tries, failed := uint32(50), uint32(0)
			if b == 2 && second > 5 && second < 12 {
				failed = 50
			}
			mean := 300.0
			if second > 20 && second < 30 {
				mean = 4000
			}
			stats := func(id uint16) []byte {
				return message(9, field{1, id}, field{3, byte(b % 2)}, field{4, 100 + b}, field{8, tries}, field{12, failed}, field{16, mean},
					field{24, 2 * mean}, field{32, byte(3)}, field{33, float32(0.9)}, field{37, float32(mean / 100)}, field{41, float32(0.2)})
			}
			events = append(events, stats(1), stats(2))
		}
		for p := range uint16(3) {
			events = append(events, message(10, field{1, uint16(1)}, field{3, 40 + p}, field{5, byte(p % 2)}, field{6, uint32(200 * (1 + second/20))}, field{14, 1000.0}),
				message(8, field{1, uint16(1)}, field{3, 40 + p}, field{5, uint64(second)}))
		}
		for slice := range uint16(4) {
			events = append(events, message(11, field{1, uint16(2)}, field{3, slice}, field{5, byte(0)}, field{6, uint32(150)}, field{14, 1000.0}))
		}
		for code := range uint16(8) {
			events = append(events, message(3, field{1, uint16(1)}, field{3, uint32(100 + code%6)}, field{7, code}))
		}
		s.at(clock, nil, events...)
		if second == 15 {
			s.at(clock+1, nil, fleet(1, 0, 3), message(7, field{1, uint16(1)}, field{3, uint16(41)}))
		}
		if second == 18 {
			list[10], list[endpointSize+10] = 2, 0
			s.at(clock+1, list, roster(0, 0, 6), fleet(1, 0, 0), fleet(2, 0, 1))
		}
	}
	s.at(41_000, nil, message(5, field{1, uint16(1)}), message(2, field{1, uint16(1)}), message(2, field{1, uint16(2)}))
	return s
}

// TestRepliesAreAsBefore plays a script that has every event code, and keeps each byte that is answered.
func TestRepliesAreAsBefore(t *testing.T) {
	var log strings.Builder
	server, body, text, number := NewServer(&log), bytes.Buffer{}, "", uint32(0)
	logged := ""
	seen, timers := map[byte]bool{}, []timer{}
	exchange := func(clock float64, tail []byte, records ...[]byte) {
		t.Helper()
		number++
		frame, err := ReadFrame(bytes.NewReader(framed(clock, number, tail, records...)), &body)
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
		shown, logTexts := hexedWithoutLogTexts(out.Bytes())
		text += fmt.Sprintf("frame %d at %v ms\n", frame.Number, frame.Clock) + shown
		for _, line := range logTexts {
			logged += fmt.Sprintf("frame %d: %s\n", number, line)
		}
		for i := range int(binary.LittleEndian.Uint32(out.Bytes())) {
			action := out.Bytes()[replyHeaderSize+i*actionSize:]
			if action[0] == 64 {
				wait := math.Float64frombits(binary.LittleEndian.Uint64(action[3:]))
				timers = append(timers, timer{clock + wait, binary.LittleEndian.Uint16(action[1:]), binary.LittleEndian.Uint64(action[11:])})
			}
		}
	}
	for _, frame := range script().frames {
		for {
			slices.SortStableFunc(timers, func(a, b timer) int { return cmp.Compare(a.due, b.due) })
			if len(timers) == 0 || timers[0].due > frame.clock {
				break
			}
			next := timers[0]
			timers = timers[1:]
			exchange(next.due, nil, message(2, field{1, next.instance}, field{3, next.tag}))
		}
		exchange(frame.clock, frame.tail, frame.records...)
	}
	for code := range byte(15) {
		if !seen[code] {
			t.Errorf("the script has no event of code %d", code)
		}
	}
	for _, code := range []byte{64, 65, 67, 68, 69, 71, 73, 74, 75, 76} {
		if !strings.Contains(text, fmt.Sprintf("\n  %02x0", code)) {
			t.Errorf("no action of code %d is answered", code)
		}
	}
	text += "complaints\n"
	for line := range strings.Lines(log.String()) {
		_, what, _ := strings.Cut(line, ": ") // without the program's name
		text += what
	}
	golden.Compare(t, "replies.golden", text)
	golden.Compare(t, "replies-log.golden", logged)
}

// TestActionsAreWrittenAsBefore keeps the bytes of each action, with values that tell its fields apart.
func TestActionsAreWrittenAsBefore(t *testing.T) {
	text := ""
	for _, action := range []struct {
		name string
		call func(in *instance)
	}{
		{"sleep 1234.567 ms, tag 0x0102030405060708", func(in *instance) { in.SetTimer(1_234_567, 0x0102030405060708) }},
		{"check backend 77001", func(in *instance) { in.CheckHealth(1) }},
		{"emit about backend 77001", func(in *instance) { in.Log(1, "is back") }},
		{"emit about none", func(in *instance) { in.Log(-1, "began") }},
		{"listen", func(in *instance) { in.PollEndpoints() }},
		{"weight 0.75 of backend 77001 in table 258", func(in *instance) { in.PublishEntry(258, 1, 0.75) }},
		{"bind proxy 515 to table 258, classes 0x0a05", func(in *instance) { in.AssignTable(258, 1, 0x0a05) }},
		{"withdraw backend 77001", func(in *instance) { in.Withdraw(1, true) }},
		{"restore backend 77001", func(in *instance) { in.Withdraw(1, false) }},
		{"level 0.5 in table 258, classes 0x0a05, tries 2", func(in *instance) { in.SetAdmissionLimit(258, 0x0a05, 0.5, 2) }},
		{"level 1200 everywhere, classes 1, tries 0", func(in *instance) { in.SetAdmissionLimit(balancer.AllTables, 1, 1200, 0) }},
		{"mark 77 of those that are reached", func(in *instance) { in.RequestAck(77, false) }},
		{"mark 78 of all", func(in *instance) { in.RequestAck(78, true) }},
		{"nothing for a proxy that came later", func(in *instance) { in.SyncWithdrawals(1, 1, 0); in.ClearWithdrawals(1) }},
		{"panic", func(in *instance) { in.abortOnPanic(func() { panic("broken") }) }},
	} {
		server := NewServer(io.Discard)
		in := &instance{server: server, id: 0x0403}
		for _, id := range []uint32{77000, 77001} {
			in.backends.number(id)
		}
		for _, id := range []uint32{514, 515} {
			in.proxies.number(id)
		}
		server.reply.Reset(9)
		action.call(in)
		var out bytes.Buffer
		if _, err := server.reply.WriteTo(&out); err != nil {
			t.Fatal(err)
		}
		text += action.name + "\n" + hexed(out.Bytes())
	}
	golden.Compare(t, "actions.golden", text)
}

// TestFramesAreRefusedAsBefore keeps what is said of input that cannot be read.
func TestFramesAreRefusedAsBefore(t *testing.T) {
	good := framed(5, 3, []byte(probing), message(0, field{1, uint16(1)}, field{15, uint32(len(probing))}))
	altered := func(at int, value any) []byte {
		raw := bytes.Clone(good)
		put(raw[at:], value)
		return raw
	}
	text := ""
	for _, input := range []struct {
		name string
		raw  []byte
	}{
		{"empty", nil}, {"cut in the head", good[:7]}, {"cut in the records", good[:40]}, {"cut in the tail", good[:len(good)-1]},
		{"a length that never comes", altered(0, uint32(1<<31))}, {"more records than bytes", altered(12, uint32(1<<30))},
		{"a clock that is not a number", altered(4, math.NaN())}, {"a clock without end", altered(4, math.Inf(1))},
		{"settings outside the tail", altered(frameHeaderSize+15, uint32(5000))},
		{"a list outside the tail", framed(5, 3, nil, message(14, field{9, uint32(1)}))},
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
