package simwire

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"strings"
	"testing"
)

// frame builds the bytes of a frame from records, each given as code and the bytes after it.
func frame(tail []byte, records ...[]byte) []byte {
	var out []byte
	for _, r := range records {
		out = append(out, append(r, make([]byte, eventSize-len(r))...)...)
	}
	head := make([]byte, frameHeaderSize)
	binary.LittleEndian.PutUint32(head, uint32(len(out)+len(tail)))
	binary.LittleEndian.PutUint64(head[4:], math.Float64bits(247))
	binary.LittleEndian.PutUint32(head[12:], uint32(len(records)))
	binary.LittleEndian.PutUint32(head[16:], 9)
	return append(append(head, out...), tail...)
}

const sampleSettings = `azs=a,b
familyInfo.admission=per_second
familyInfo.backlog=900
familyInfo.egressPerS=900
familyInfo.overhead=4
familyInfo.pushDelayMax=662.5
familyInfo.reportEvery=2000
membershipMode=automatic
profiles.count=1
profiles.0.deadline=4000
profiles.0.idempotency=pure
profiles.0.target=1500
rules.coldShare=0.16
rules.rampTime=17000
rules.stopSendingWithin=3000
`

func create(instance uint16, size int) []byte {
	r := make([]byte, 19)
	binary.LittleEndian.PutUint16(r[1:], instance)
	r[3] = 7 // the seed
	binary.LittleEndian.PutUint32(r[15:], uint32(size))
	return r
}

// play hands frames to a fresh server and gives the codes of all actions and what was logged.
func play(t *testing.T, frames ...[]byte) (codes []byte, tails, warnings string, err error) {
	t.Helper()
	var log strings.Builder
	server, body := NewServer(&log), bytes.Buffer{}
	in := bytes.NewReader(bytes.Join(frames, nil))
	for {
		frame, err := ReadFrame(in, &body)
		if err == io.EOF {
			return codes, tails, log.String(), nil
		} else if err != nil {
			return codes, tails, log.String(), err
		}
		reply, err := server.Handle(frame)
		if err != nil {
			return codes, tails, log.String(), err
		}
		for i := 0; i < len(reply.records); i += actionSize {
			codes = append(codes, reply.records[i])
		}
		tails += string(reply.tail)
	}
}

func TestUnusableInputIsRefusedOrSkipped(t *testing.T) {
	good := frame([]byte(sampleSettings), create(3, len(sampleSettings)))
	t.Run("an instance starts and asks for its timer", func(t *testing.T) {
		codes, _, logged, err := play(t, good)
		if err != nil || logged != "" || !bytes.Equal(codes, []byte{byte(actionSetTimer)}) {
			t.Errorf("codes %v, logged %q, error %v", codes, logged, err)
		}
	})
	huge := frame(nil)
	binary.LittleEndian.PutUint32(huge, 1<<31)
	many := frame(nil)
	binary.LittleEndian.PutUint32(many[12:], 1<<30)
	unclocked := frame(nil)
	binary.LittleEndian.PutUint64(unclocked[4:], math.Float64bits(math.NaN()))
	for name, raw := range map[string][]byte{
		"cut off in the header":       good[:7],
		"cut off in the records":      good[:40],
		"a length that never comes":   huge,
		"more records than bytes":     many,
		"a clock that is no number":   unclocked,
		"a tail offset out of bounds": frame([]byte("short"), create(3, 500)),
	} {
		t.Run(name, func(t *testing.T) {
			if _, _, _, err := play(t, raw); err == nil {
				t.Error("was taken")
			}
		})
	}
	t.Run("unknown codes, words and instances are skipped and said once", func(t *testing.T) {
		text := strings.Replace(sampleSettings, "=automatic", "=sometimes\nrules.askWithin=10000", 1)
		codes, _, logged, err := play(t, frame([]byte(text), create(3, len(text)), []byte{77}, []byte{77}, []byte{2, 9}))
		if err != nil || !bytes.Equal(codes, []byte{byte(actionSetTimer)}) || strings.Count(logged, "event code 77") != 1 ||
			!strings.Contains(logged, "sometimes") || !strings.Contains(logged, "instance 9") {
			t.Errorf("codes %v, logged %q, error %v", codes, logged, err)
		}
	})
	t.Run("reports of what was never named, or does not exist, are skipped and said", func(t *testing.T) {
		codes, _, logged, err := play(t, good, frame(nil, []byte{6, 3, 0, 1, 0, 0, 0, 0, 1, 5, 0}, []byte{10, 3, 0, 77},
			[]byte{10, 3, 0, 5, 0, 9}, []byte{7, 3, 0, 78}, []byte{8, 3, 0, 79}, []byte{9, 3, 0, 0, 44}, []byte{12, 3, 0, 46}))
		for _, want := range []string{"proxy 77", "class 9", "proxy 78", "proxy 79", "backend 44", "slice 46"} {
			if err != nil || !bytes.Equal(codes, []byte{byte(actionSetTimer)}) || !strings.Contains(logged, want) {
				t.Errorf("%s: codes %v, logged %q, error %v", want, codes, logged, err)
			}
		}
	})
	for _, key := range []string{"familyInfo.egressPerS", "profiles.0.target", "azs", "rules.rampTime"} {
		t.Run("without "+key+" the instance aborts, and the others go on", func(t *testing.T) {
			text := strings.Replace(sampleSettings, key, "was."+key, 1)
			codes, tail, _, err := play(t, frame([]byte(text), create(3, len(text))), good, frame(nil, []byte{2, 3}))
			if err != nil || !bytes.Equal(codes, []byte{byte(actionAbort), byte(actionSetTimer)}) || !strings.Contains(tail, key) {
				t.Errorf("codes %v, tail %q, error %v", codes, tail, err)
			}
		})
	}
	t.Run("a panic ends its instance alone", func(t *testing.T) {
		server := NewServer(io.Discard)
		in := &instance{server: server, id: 4}
		in.abortOnPanic(func() { panic("index out of range") })
		if in.balancer != nil || len(server.reply.records) != actionSize || string(server.reply.tail) != "index out of range" {
			t.Errorf("reply %v %q", server.reply.records, server.reply.tail)
		}
	})
}

func FuzzFrames(f *testing.F) {
	start := frame([]byte(sampleSettings), create(0, len(sampleSettings)))
	f.Add(start)
	f.Add(append(bytes.Clone(start), frame(nil, []byte{9, 0, 0, 0, 5}, []byte{6, 0, 0}, []byte{1, 0, 0}, []byte{200})...))
	f.Add(start[:33])
	f.Add(frame(make([]byte, 2*endpointSize), []byte{14, 0, 0, 0, 0, 0, 0, 0, 0, 2}, []byte{1, 0, 0}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		server, body, in := NewServer(io.Discard), bytes.Buffer{}, bytes.NewReader(raw)
		for {
			frame, err := ReadFrame(in, &body)
			if err != nil {
				return
			}
			reply, err := server.Handle(frame)
			if err != nil {
				return
			}
			if reply.number != frame.Number || len(reply.records)%actionSize != 0 {
				t.Fatal("not a reply to its frame")
			}
			if bytes.Contains(reply.tail, []byte("runtime error")) {
				t.Fatalf("the module panicked: %s", reply.tail)
			}
		}
	})
}
