package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"wheelrill/internal/golden"

	"github.com/valyala/fastjson"
)

// everyKey has each key that settings are read from.
const everyKey = `{"azs":["a","b"],"familyInfo":{"admission":"fraction","backlog":900.5,"classWrites":[false,true],
"egressPerS":700,"ingestRate":4000,"keepsWriting":2500,"lingers":1500,"messagesMost":40,"messagesOver":1000,
"overhead":6,"partitionsN":12,"proxyCount":30,"pushDelayMax":662.5,"reportEvery":1000,"singleWriter":false,
"socketsMin":8,"staysLocal":[true,false]},"limits":{"mayProbe":true},
"membershipMode":"subscribe","profiles":[{"deadline":4000,"target":1500,"worth":2},{"deadline":2000,"target":800.25,"worth":0.5}],
"reporting":{"fields":["cpu","waiting"],"how":"piggyback"},
"rules":{"askWithin":10000,"coldShare":0.16,"droppedStayOpen":true,"rampTime":17000,"stopSendingWithin":3000},
"tick":250,"weights":"rough"}`

// leafPaths gives the paths of all values in an object that are no objects, in order; items of lists of objects have
// their number in it.
func leafPaths(path string, v any) (paths []string) {
	switch v := v.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			paths = append(paths, leafPaths(strings.TrimPrefix(path+"."+key, "."), v[key])...)
		}
		return paths
	case []any:
		for i, item := range v {
			if _, ok := item.(map[string]any); ok {
				paths = append(paths, leafPaths(path+"."+strconv.Itoa(i), item)...)
			}
		}
	}
	return append(paths, path)
}

// change has the value at a path replaced, or with no value left out; a new name takes the place of the key's.
func change(root any, path, name string, value any) {
	steps := strings.Split(path, ".")
	for _, step := range steps[:len(steps)-1] {
		if list, ok := root.([]any); ok {
			i, _ := strconv.Atoi(step)
			root = list[i]
		} else {
			root = root.(map[string]any)[step]
		}
	}
	object, last := root.(map[string]any), steps[len(steps)-1]
	delete(object, last)
	if value != nil {
		object[name] = value
	}
}

// asLines writes an object as path=value lines, as the simulator does.
func asLines(path string, v any) string {
	switch v := v.(type) {
	case map[string]any:
		text := ""
		for _, key := range slices.Sorted(maps.Keys(v)) {
			text += asLines(strings.TrimPrefix(path+"."+key, "."), v[key])
		}
		return text
	case []any:
		text, words := "", []string{}
		for i, item := range v {
			if _, ok := item.(map[string]any); ok {
				text += asLines(path+"."+strconv.Itoa(i), item)
			}
			words = append(words, fmt.Sprint(item))
		}
		if text != "" {
			return text + fmt.Sprintf("%s.count=%d\n", path, len(v))
		}
		return path + "=" + strings.Join(words, ",") + "\n"
	}
	return fmt.Sprintf("%s=%v\n", path, v)
}

// readAll reads everything, and gives each value in a line under a name of its own, or the error, and what was odd.
func readAll(text string, asJSON bool) []string {
	var odd []string
	note := func(format string, args ...any) { odd = append(odd, "odd: "+fmt.Sprintf(format, args...)) }
	var s *Settings
	if asJSON {
		s = ParseJSON(fastjson.MustParse(text), note)
	} else {
		s = ParseLines(text, note)
	}
	var out []string
	add := func(name string, value any) { out = append(out, fmt.Sprintf("%s %v", name, value)) }
	ch, li, cl, pa, si := s.PushChannel(), s.RuleLimits(), s.Classes(), s.Sharding(), s.Telemetry()
	add("lines_per_s", ch.LinesPerSecond)
	add("overhead_lines", ch.MessageOverhead)
	add("limit_lines", ch.LimitLines)
	add("backlog_lines", ch.Backlog)
	add("push_delay_us", ch.MaxLatency)
	add("messages_most", ch.MaxMessages)
	add("messages_over_us", ch.MessageWindow)
	add("proxies", ch.Proxies)
	add("connections_min", ch.MinBackendConnections)
	add("grace_us", li.DrainGrace)
	add("cold_share", li.ColdStartShare)
	add("warm_by_us", li.WarmupTime)
	add("only_draining_binds", li.OnlyDrainingMustLeave)
	for i, c := range cl {
		add(fmt.Sprintf("class_%d", i), fmt.Sprintf("target_us %d deadline_us %d value %v writes %v own_zone %v", c.LatencyObjective, c.Deadline,
			c.PriorityWeight, c.Writes, c.ZoneLocal))
	}
	add("slices", fmt.Sprintf("%d single_owner %v writes_on_us %d settle_us %d", pa.Count, pa.SingleOwner, pa.WriteLease, pa.SettleTime))
	add("report_every_us", si.ReportInterval)
	add("report_lines_per_s", si.ReportLinesPerSecond)
	add("may_probe", si.HealthChecksAllowed)
	add("must_ask", si.PollingRequired)
	add("live_weights", si.LoadDependentWeights)
	add("ask_within_us", si.MaxPollInterval)
	add("admission", uint8(s.AdmissionMode()))
	add("load_fields", strings.Join(s.LoadFields(), "|"))
	add("zones", strings.Join(s.Zones(), "|"))
	add("count_proxies", s.Count("familyInfo.proxyCount"))
	add("tick_us", FromMilliseconds(s.NumberOr("tick", 0)))
	if s.Err() != nil {
		return append(odd, "error: "+s.Err().Error())
	}
	return append(out, odd...)
}

// spelledOtherwise writes a key in a way that is taken for a slip.
func spelledOtherwise(key string) string { return strings.ToUpper(key[:1]) + "_" + key[1:] }

// TestEveryKeyIsReadAndRefusedAsBefore leaves each key out, spells it otherwise and gives it values of each kind; only
// what differs from the unchanged settings is kept.
func TestEveryKeyIsReadAndRefusedAsBefore(t *testing.T) {
	parse := func() any {
		var root any
		if err := json.Unmarshal([]byte(everyKey), &root); err != nil {
			t.Fatal(err)
		}
		return root
	}
	for _, asJSON := range []bool{false, true} {
		write := func(root any) string {
			if !asJSON {
				return asLines("", root)
			}
			body, err := json.Marshal(root)
			if err != nil {
				t.Fatal(err)
			}
			return string(body)
		}
		usual := readAll(write(parse()), asJSON)
		text := "unchanged\n  " + strings.Join(usual, "\n  ") + "\n"
		show := func(title string, root any) {
			text += title + "\n"
			for _, line := range readAll(write(root), asJSON) {
				if !slices.Contains(usual, line) {
					text += "  " + line + "\n"
				}
			}
		}
		for _, path := range leafPaths("", parse()) {
			name := path[strings.LastIndex(path, ".")+1:]
			root := parse()
			change(root, path, name, nil)
			show(path+" left out", root)
			root = parse()
			change(root, path, spelledOtherwise(name), 7)
			show(path+" spelled otherwise", root)
			for _, value := range []any{"word", "", "NaN", "Inf", -1, 0, 3.75, 17, 70_000, 1e300, true, false, []any{}, []any{"x"},
				[]any{"x", "x"}, []any{"true", "true"}, []any{1, 2, 3}, "silent", "nominal", "live", "automatic", "fraction", "per_second",
				json.RawMessage("null"), map[string]any{"a": 1}} {
				root := parse()
				change(root, path, name, value)
				shown, _ := json.Marshal(value)
				show(path+" = "+string(shown), root)
			}
		}
		name := "lines.golden"
		if asJSON {
			name = "nested.golden"
		}
		t.Run(strings.TrimSuffix(name, ".golden"), func(t *testing.T) { golden.Compare(t, name, text) })
	}
}

// TestFiguresAreBoundedAsBefore holds the bounds of figures that come from elsewhere than settings.
func TestFiguresAreBoundedAsBefore(t *testing.T) {
	text := ""
	for _, word := range []string{"0", "-0", "-1", "0.0004", "0.0005", "0.0015", "1.4996", "1e3", "9007199254740.992", "1e300", "NaN", "+Inf", "-Inf"} {
		x, err := strconv.ParseFloat(word, 64)
		if err != nil {
			t.Fatal(err)
		}
		text += fmt.Sprintf("%s ms: %d us, usable %v\n", word, FromMilliseconds(x), Sanitize(x))
	}
	golden.Compare(t, "figures.golden", text)
}
