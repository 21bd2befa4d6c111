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

// readEverything calls every reader, and gives what each returned.
func readEverything(s *Settings) []any {
	return []any{s.Classes(), s.PushChannel(), s.RuleLimits(), s.Sharding(), s.Telemetry(), s.AdmissionMode(), s.Zones(),
		s.LoadFields(), s.Count("profiles.count"), s.NumberOr("tick", 7), s.Err()}
}

func TestBothFormsReadTheSame(t *testing.T) {
	var warnings []string
	note := func(format string, _ ...any) { warnings = append(warnings, format) }
	t.Run("lines and nested JSON say the same", func(t *testing.T) {
		one, other := readEverything(ParseLines(sampleLines, note)), readEverything(ParseJSON(fastjson.MustParse(sampleJSON), note))
		if !reflect.DeepEqual(one, other) || one[len(one)-1] != nil || len(warnings) > 0 {
			t.Errorf("%v\n%v\nwarnings %v", one, other, warnings)
		}
		if zones := one[6].([]string); len(zones) != 2 || zones[1] != "b" {
			t.Errorf("zones %v", zones)
		}
	})
	t.Run("names keep their commas where the form has lists", func(t *testing.T) {
		zones := ParseJSON(fastjson.MustParse(`{"azs":["a, the first","b"]}`), note).Zones()
		if len(zones) != 2 || zones[0] != "a, the first" {
			t.Errorf("zones %q", zones)
		}
	})
	for _, broken := range []string{`{"profiles":7}`, `{"profiles":[1,2]}`, `{"profiles":{"count":99999}}`, `{"azs":null}`} {
		t.Run(broken, func(t *testing.T) {
			s := ParseJSON(fastjson.MustParse(broken), note)
			readEverything(s)
			var refused *KeyError
			if !errors.As(s.Err(), &refused) || refused.Key == "" || !strings.HasPrefix(s.Err().Error(), "setting "+refused.Key+" ") {
				t.Errorf("error %v", s.Err())
			}
		})
	}
}
