package benchwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"wheelrill/decide"
)

// facts are the path=value pairs of a start message. The first key that is missing or unusable is kept.
type facts struct {
	pairs map[string]string
	err   error
	odd   func(format string, args ...any)
}

func readFacts(text string, odd func(string, ...any)) *facts {
	f := &facts{pairs: map[string]string{}, odd: odd}
	for _, line := range strings.Split(text, "\n") {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			f.pairs[key] = value
		}
	}
	return f
}

func (f *facts) fail(key, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("setting %s %s", key, why)
	}
}

// number reads a figure that the module cannot do without.
func (f *facts) number(key string) float64 {
	text, ok := f.pairs[key]
	if !ok {
		f.fail(key, "is missing")
		return 0
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		f.fail(key, fmt.Sprintf("is not a usable number: %q", text))
		return 0
	}
	return x
}

// count reads a figure that sizes something here.
func (f *facts) count(key string) int {
	x := f.number(key)
	if x > math.MaxUint16 {
		f.fail(key, "is out of all bounds")
		return 0
	}
	return int(x)
}

// maybe reads a figure whose absence means the given one.
func (f *facts) maybe(key string, absent float64) float64 {
	if _, ok := f.pairs[key]; !ok {
		return absent
	}
	return f.number(key)
}

func (f *facts) span(key string) int64 { return micros(f.number(key)) }

// truth reads a yes or no; another word, or none, is the careful one.
func (f *facts) truth(key string, careful bool) bool {
	switch text, ok := f.pairs[key]; {
	case text == "true":
		return true
	case text == "false":
		return false
	case ok:
		f.odd("setting %s: unknown word %q", key, text)
	}
	return careful
}

func (f *facts) list(key string) []string {
	if f.pairs[key] == "" {
		return nil
	}
	return strings.Split(f.pairs[key], ",")
}

// word finds a word of the wire among ours; another word, or none, is the careful one.
func word[T any](f *facts, key string, careful T, known map[string]T) T {
	text, ok := f.pairs[key]
	if value, there := known[text]; there {
		return value
	}
	if ok {
		f.odd("setting %s: unknown word %q", key, text)
	}
	return careful
}

func (f *facts) classes() []decide.Class {
	writes, own := f.list("familyInfo.classWrites"), f.list("familyInfo.staysLocal")
	at := func(list []string, i int, absent bool) bool {
		if i < len(list) {
			return list[i] == "true"
		}
		return absent
	}
	count := f.count("profiles.count")
	if f.err == nil && (count == 0 || count > 16) {
		f.fail("profiles.count", "is outside 1 to 16")
	}
	var classes []decide.Class
	for i := 0; f.err == nil && i < count; i++ {
		key := fmt.Sprintf("profiles.%d.", i)
		class := decide.Class{
			Expected:   f.span(key + "target"),
			Outer:      f.span(key + "deadline"),
			Importance: f.maybe(key+"worth", 1),
			Writes:     at(writes, i, true),
			OwnZone:    at(own, i, false),
		}
		classes = append(classes, class)
	}
	return classes
}

func (f *facts) channel() decide.Channel {
	return decide.Channel{
		LinesPerS:    f.number("familyInfo.egressPerS"),
		Head:         f.number("familyInfo.overhead"),
		Backlog:      f.number("familyInfo.backlog"),
		LongestWay:   f.span("familyInfo.pushDelayMax"),
		MessagesMost: int(min(f.maybe("familyInfo.messagesMost", 0), math.MaxInt32)),
		MessagesSpan: micros(f.maybe("familyInfo.messagesOver", 0)),
	}
}

func (f *facts) limits() decide.Limits {
	return decide.Limits{
		Grace:             f.span("rules.stopSendingWithin"),
		ColdShare:         f.number("rules.coldShare"),
		WarmBy:            f.span("rules.rampTime"),
		OnlyDrainingBinds: f.truth("rules.droppedStayOpen", false),
	}
}

func (f *facts) partition() decide.Partition {
	p := decide.Partition{Count: int(min(f.maybe("familyInfo.partitionsN", 0), math.MaxUint16))}
	if p.Count > 0 {
		p.SingleOwner = f.truth("familyInfo.singleWriter", true)
		p.WritesOn = f.span("familyInfo.keepsWriting")
		p.Settle = f.span("familyInfo.lingers")
	}
	return p
}

func (f *facts) sight() decide.Sight {
	s := decide.Sight{
		ReportEvery: f.span("familyInfo.reportEvery"),
		MayProbe:    f.truth("limits.mayProbe", false),
		LiveWeights: word(f, "weights", false, map[string]bool{
			"silent": false, "nominal": false, "rough": false, "live": true}),
		MustAsk: word(f, "membershipMode", true, map[string]bool{
			"automatic": false, "subscribe": true}),
	}
	if s.MustAsk {
		s.AskWithin = f.span("rules.askWithin")
	}
	return s
}

func (f *facts) admission() decide.Admission {
	return word(f, "familyInfo.admission", decide.AdmitNone, map[string]decide.Admission{
		"silent": decide.AdmitNone, "fraction": decide.AdmitShare, "per_second": decide.AdmitRate})
}

// loadFields gives the positions of the figures we read in a load report.
func (f *facts) loadFields() []string {
	if f.pairs["reporting.how"] == "silent" {
		return nil
	}
	return f.list("reporting.fields")
}
