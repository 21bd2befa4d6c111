package settings

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"github.com/valyala/fastjson"
)

const sampleLines = `azs=a,b
familyInfo.admission=fraction
familyInfo.backlog=900.5
familyInfo.classWrites=false,true
familyInfo.egressPerS=700
familyInfo.overhead=6
familyInfo.pushDelayMax=662.5
familyInfo.reportEvery=1000
familyInfo.staysLocal=true,false
membershipMode=automatic
profiles.count=2
profiles.0.deadline=4000
profiles.0.target=1500
profiles.0.worth=2
profiles.1.deadline=2000
profiles.1.target=800.0
reporting.fields=cpu,waiting
reporting.how=piggyback
rules.coldShare=0.16
rules.droppedStayOpen=true
rules.rampTime=17000
rules.stopSendingWithin=3000
weights=live`

const sampleJSON = `{"azs":["a","b"],"familyInfo":{"admission":"fraction","backlog":900.5,"classWrites":[false,true],
"egressPerS":700,"overhead":6,"pushDelayMax":662.5,"reportEvery":1e3,"staysLocal":[true,false]},
"membershipMode":"automatic","profiles":[{"deadline":4000,"target":1500,"worth":2},{"deadline":2000,"target":800.0}],
"reporting":{"fields":["cpu","waiting"],"how":"piggyback"},
"rules":{"coldShare":0.16,"droppedStayOpen":true,"rampTime":17000,"stopSendingWithin":3000},"weights":"live"}`

// readEverything calls every method of Settings that reads a value, and returns all results.
func readEverything(s *Settings) []any {
	return []any{s.Classes(), s.PushChannel(), s.RuleLimits(), s.Sharding(), s.Telemetry(), s.AdmissionMode(),
		s.Zones(), s.LoadFields(), s.Count("profiles.count"), s.NumberOr("tick", 7), s.Err()}
}

// TestLinesAndJSONGiveTheSameSettings guards against a setting that is read differently from the
// simulator's lines than from the nested JSON of a configuration.
func TestLinesAndJSONGiveTheSameSettings(t *testing.T) {
	var warnings []string
	warn := func(format string, _ ...any) { warnings = append(warnings, format) }
	t.Run("lines and nested JSON have the same values", func(t *testing.T) {
		fromLines := readEverything(ParseLines(sampleLines, warn))
		fromJSON := readEverything(ParseJSON(fastjson.MustParse(sampleJSON), warn))
		if !reflect.DeepEqual(fromLines, fromJSON) || fromLines[len(fromLines)-1] != nil || len(warnings) > 0 {
			t.Errorf("read from lines: %v\nread from JSON: %v\nwarnings %q, want equal values and no warning",
				fromLines, fromJSON, warnings)
		}
		if zones := fromLines[6].([]string); len(zones) != 2 || zones[1] != "b" {
			t.Errorf("zones %q, want a and b", zones)
		}
	})
	t.Run("list items of JSON keep their commas", func(t *testing.T) {
		zones := ParseJSON(fastjson.MustParse(`{"azs":["a, the first","b"]}`), warn).Zones()
		if len(zones) != 2 || zones[0] != "a, the first" {
			t.Errorf("zones %q, want %q and %q", zones, "a, the first", "b")
		}
	})
	for _, unusable := range []string{
		`{"profiles":7}`, `{"profiles":[1,2]}`, `{"profiles":{"count":99999}}`, `{"azs":null}`,
	} {
		t.Run(unusable, func(t *testing.T) {
			s := ParseJSON(fastjson.MustParse(unusable), warn)
			readEverything(s)
			var refused *KeyError
			if !errors.As(s.Err(), &refused) || refused.Key == "" ||
				!strings.HasPrefix(s.Err().Error(), "setting "+refused.Key+" ") {
				t.Errorf("error %v, want a *KeyError whose text starts with its key", s.Err())
			}
		})
	}
}
