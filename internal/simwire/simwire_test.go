package simwire

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"strings"
	"testing"
)

// frame returns the bytes of frame 9, at a clock time of 247 ms. Each record has the code and the
// bytes after the code, and is padded with zeros.
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

// createEvent returns an eventCreate with the seed 7, and with settings of the given size at the
// start of the tail.
func createEvent(instance uint16, size int) []byte {
	r := make([]byte, 19)
	binary.LittleEndian.PutUint16(r[1:], instance)
	r[3] = 7 // lowest byte of the seed, so that the seed is 7
	binary.LittleEndian.PutUint32(r[15:], uint32(size))
	return r
}

// runFrames passes frames to a new server. It returns the codes of all actions, the tails of all
// replies, the logged warnings, and the first error.
func runFrames(t *testing.T, frames ...[]byte) (codes []byte, tails, warnings string, err error) {
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

// TestUnusableInputIsRefusedOrSkipped guards against malformed frames that are accepted, and
// against unusable events or settings that stop more than the instance they are for.
func TestUnusableInputIsRefusedOrSkipped(t *testing.T) {
	validFrame := frame([]byte(sampleSettings), createEvent(3, len(sampleSettings)))
	t.Run("a valid instance starts and sets its timer", func(t *testing.T) {
		codes, _, logged, err := runFrames(t, validFrame)
		if err != nil || logged != "" || !bytes.Equal(codes, []byte{byte(actionSetTimer)}) {
			t.Errorf("action codes %v, logged %q, error %v; want only a timer", codes, logged, err)
		}
	})
	tooLong := frame(nil)
	binary.LittleEndian.PutUint32(tooLong, 1<<31)
	tooManyRecords := frame(nil)
	binary.LittleEndian.PutUint32(tooManyRecords[12:], 1<<30)
	nanClock := frame(nil)
	binary.LittleEndian.PutUint64(nanClock[4:], math.Float64bits(math.NaN()))
	for name, raw := range map[string][]byte{
		"cut off in the header":        validFrame[:7],
		"cut off in the records":       validFrame[:40],
		"a length above the input's":   tooLong,
		"more records than bytes":      tooManyRecords,
		"a clock that is not a number": nanClock,
		"a tail offset out of bounds":  frame([]byte("short"), createEvent(3, 500)),
	} {
		t.Run(name, func(t *testing.T) {
			if _, _, _, err := runFrames(t, raw); err == nil {
				t.Error("the frame was accepted, want an error")
			}
		})
	}
	t.Run("unknown codes, words and instances are skipped with one warning each", func(t *testing.T) {
		text := strings.Replace(sampleSettings, "=automatic", "=sometimes\nrules.askWithin=10000", 1)
		codes, _, logged, err := runFrames(t, frame([]byte(text), createEvent(3, len(text)), []byte{77}, []byte{77},
			[]byte{2, 9}))
		if err != nil || !bytes.Equal(codes, []byte{byte(actionSetTimer)}) ||
			strings.Count(logged, "event code 77") != 1 ||
			!strings.Contains(logged, "sometimes") || !strings.Contains(logged, "instance 9") {
			t.Errorf("action codes %v, logged %q, error %v; want only a timer, and one warning each",
				codes, logged, err)
		}
	})
	t.Run("events about unknown proxies, backends, classes and shards are skipped with a warning", func(t *testing.T) {
		codes, _, logged, err := runFrames(t, validFrame,
			frame(nil, []byte{6, 3, 0, 1, 0, 0, 0, 0, 1, 5, 0}, []byte{10, 3, 0, 77},
				[]byte{10, 3, 0, 5, 0, 9}, []byte{7, 3, 0, 78}, []byte{8, 3, 0, 79}, []byte{9, 3, 0, 0, 44},
				[]byte{12, 3, 0, 46}))
		for _, want := range []string{"proxy 77", "class 9", "proxy 78", "proxy 79", "backend 44", "slice 46"} {
			if err != nil || !bytes.Equal(codes, []byte{byte(actionSetTimer)}) || !strings.Contains(logged, want) {
				t.Errorf("action codes %v, logged %q, error %v; want only a timer, and a warning about %s",
					codes, logged, err, want)
			}
		}
	})
	for _, key := range []string{"familyInfo.egressPerS", "profiles.0.target", "azs", "rules.rampTime"} {
		t.Run("without "+key+" only that instance aborts", func(t *testing.T) {
			text := strings.Replace(sampleSettings, key, "was."+key, 1)
			codes, tail, _, err := runFrames(t, frame([]byte(text), createEvent(3, len(text))), validFrame,
				frame(nil, []byte{2, 3}))
			if err != nil || !bytes.Equal(codes, []byte{byte(actionAbort), byte(actionSetTimer)}) ||
				!strings.Contains(tail, key) {
				t.Errorf("action codes %v, tail %q, error %v; want an abort that names %s, and a timer",
					codes, tail, err, key)
			}
		})
	}
	t.Run("a panic aborts only its instance", func(t *testing.T) {
		server := NewServer(io.Discard)
		in := &instance{server: server, id: 4}
		in.abortOnPanic(func() { panic("index out of range") })
		if in.balancer != nil || len(server.reply.records) != actionSize ||
			string(server.reply.tail) != "index out of range" {
			t.Errorf("actions %v, tail %q; want one abort with the cause of the panic",
				server.reply.records, server.reply.tail)
		}
	})
}

// FuzzFrames guards against frames that crash the server or an instance, and against malformed
// replies.
func FuzzFrames(f *testing.F) {
	start := frame([]byte(sampleSettings), createEvent(0, len(sampleSettings)))
	f.Add(start)
	f.Add(append(bytes.Clone(start), frame(nil, []byte{9, 0, 0, 0, 5}, []byte{6, 0, 0}, []byte{1, 0, 0},
		[]byte{200})...))
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
				t.Fatalf("reply %d with %d bytes of actions, want reply %d with a multiple of %d bytes",
					reply.number, len(reply.records), frame.Number, actionSize)
			}
			if bytes.Contains(reply.tail, []byte("runtime error")) {
				t.Fatalf("an instance aborted on a runtime error: %s", reply.tail)
			}
		}
	})
}
