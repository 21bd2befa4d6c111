package settings

import (
	"reflect"
	"strings"
	"testing"

	"github.com/valyala/fastjson"
)

const lines = `azs=a,b
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

const nested = `{"azs":["a","b"],"familyInfo":{"admission":"fraction","backlog":900.5,"classWrites":[false,true],
"egressPerS":700,"overhead":6,"pushDelayMax":662.5,"reportEvery":1e3,"staysLocal":[true,false]},
"membershipMode":"automatic","profiles":[{"deadline":4000,"target":1500,"worth":2},{"deadline":2000,"target":800.0}],
"reporting":{"fields":["cpu","waiting"],"how":"piggyback"},
"rules":{"coldShare":0.16,"droppedStayOpen":true,"rampTime":17000,"stopSendingWithin":3000},"weights":"live"}`

func all(f *Settings) []any {
	return []any{f.Classes(), f.PushChannel(), f.RuleLimits(), f.Sharding(), f.Telemetry(), f.AdmissionMode(), f.Zones(),
		f.LoadFields(), f.Count("profiles.count"), f.Maybe("tick", 7), f.Err()}
}

func TestForms(t *testing.T) {
	var odd []string
	note := func(format string, _ ...any) { odd = append(odd, format) }
	t.Run("lines and nested JSON say the same", func(t *testing.T) {
		one, other := all(Lines(lines, note)), all(Nested(fastjson.MustParse(nested), note))
		if !reflect.DeepEqual(one, other) || one[len(one)-1] != nil || len(odd) > 0 {
			t.Errorf("%v\n%v\nodd %v", one, other, odd)
		}
		if zones := one[6].([]string); len(zones) != 2 || zones[1] != "b" {
			t.Errorf("zones %v", zones)
		}
	})
	t.Run("names keep their commas where the form has lists", func(t *testing.T) {
		zones := Nested(fastjson.MustParse(`{"azs":["a, the first","b"]}`), note).Zones()
		if len(zones) != 2 || zones[0] != "a, the first" {
			t.Errorf("zones %q", zones)
		}
	})
	for _, broken := range []string{`{"profiles":7}`, `{"profiles":[1,2]}`, `{"profiles":{"count":99999}}`, `{"azs":null}`} {
		t.Run(broken, func(t *testing.T) {
			f := Nested(fastjson.MustParse(broken), note)
			if all(f); f.Err() == nil || !strings.Contains(f.Err().Error(), "setting ") {
				t.Errorf("error %v", f.Err())
			}
		})
	}
}
