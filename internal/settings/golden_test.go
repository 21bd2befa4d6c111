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

// everyKey is a JSON object with every key that a method of Settings reads.
const everyKey = `{"azs":["a","b"],"familyInfo":{"admission":"fraction","backlog":900.5,"classWrites":[false,true],
"egressPerS":700,"ingestRate":4000,"keepsWriting":2500,"lingers":1500,"messagesMost":40,"messagesOver":1000,
"overhead":6,"partitionsN":12,"proxyCount":30,"pushDelayMax":662.5,"reportEvery":1000,"singleWriter":false,
"socketsMin":8,"staysLocal":[true,false]},"limits":{"mayProbe":true},
"membershipMode":"subscribe","profiles":[{"deadline":4000,"target":1500,"worth":2},{"deadline":2000,"target":800.25,"worth":0.5}],
"reporting":{"fields":["cpu","waiting"],"how":"piggyback"},
"rules":{"askWithin":10000,"coldShare":0.16,"droppedStayOpen":true,"rampTime":17000,"stopSendingWithin":3000},
"tick":250,"weights":"rough"}`

// leafPaths returns the sorted paths of all values in an object that are not objects. A path
// through a list of objects contains the index of the item.
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

// replaceValue sets the value at a path and changes the last key of the path to name. A nil value
// removes the key.
func replaceValue(root any, path, name string, value any) {
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

// asLines returns an object as path=value lines, the form that the simulator sends.
func asLines(path string, v any) string {
	switch v := v.(type) {
	case map[string]any:
		text := ""
		for _, key := range slices.Sorted(maps.Keys(v)) {
			text += asLines(strings.TrimPrefix(path+"."+key, "."), v[key])
		}
		return text
	case []any:
		text, items := "", []string{}
		for i, item := range v {
			if _, ok := item.(map[string]any); ok {
				text += asLines(path+"."+strconv.Itoa(i), item)
			}
			items = append(items, fmt.Sprint(item))
		}
		if text != "" {
			return text + fmt.Sprintf("%s.count=%d\n", path, len(v))
		}
		return path + "=" + strings.Join(items, ",") + "\n"
	}
	return fmt.Sprintf("%s=%v\n", path, v)
}

// readAll calls every method of Settings that reads a value. It returns one line per value, or a
// single line with the error instead, and one line per warning.
func readAll(text string, asJSON bool) []string {
	var warnings []string
	warn := func(format string, args ...any) { warnings = append(warnings, "odd: "+fmt.Sprintf(format, args...)) }
	var s *Settings
	if asJSON {
		s = ParseJSON(fastjson.MustParse(text), warn)
	} else {
		s = ParseLines(text, warn)
	}
	var out []string
	add := func(name string, value any) { out = append(out, fmt.Sprintf("%s %v", name, value)) }
	channel, limits, classes := s.PushChannel(), s.RuleLimits(), s.Classes()
	sharding, telemetry := s.Sharding(), s.Telemetry()
	add("lines_per_s", channel.LinesPerSecond)
	add("overhead_lines", channel.MessageOverhead)
	add("limit_lines", channel.LimitLines)
	add("backlog_lines", channel.Backlog)
	add("push_delay_us", channel.MaxLatency)
	add("messages_most", channel.MaxMessages)
	add("messages_over_us", channel.MessageWindow)
	add("proxies", channel.Proxies)
	add("connections_min", channel.MinBackendConnections)
	add("grace_us", limits.DrainGrace)
	add("cold_share", limits.ColdStartShare)
	add("warm_by_us", limits.WarmupTime)
	add("only_draining_binds", limits.OnlyDrainingMustLeave)
	for i, c := range classes {
		add(fmt.Sprintf("class_%d", i), fmt.Sprintf("target_us %d deadline_us %d value %v writes %v own_zone %v",
			c.LatencyObjective, c.Deadline, c.PriorityWeight, c.Writes, c.ZoneLocal))
	}
	add("slices", fmt.Sprintf("%d single_owner %v writes_on_us %d settle_us %d",
		sharding.Count, sharding.SingleOwner, sharding.WriteLease, sharding.SettleTime))
	add("report_every_us", telemetry.ReportInterval)
	add("report_lines_per_s", telemetry.ReportLinesPerSecond)
	add("may_probe", telemetry.HealthChecksAllowed)
	add("must_ask", telemetry.PollingRequired)
	add("live_weights", telemetry.LoadDependentWeights)
	add("ask_within_us", telemetry.MaxPollInterval)
	add("admission", uint8(s.AdmissionMode()))
	add("load_fields", strings.Join(s.LoadFields(), "|"))
	add("zones", strings.Join(s.Zones(), "|"))
	add("count_proxies", s.Count("familyInfo.proxyCount"))
	add("tick_us", FromMilliseconds(s.NumberOr("tick", 0)))
	if s.Err() != nil {
		return append(warnings, "error: "+s.Err().Error())
	}
	return append(out, warnings...)
}

// misspell returns a key in a spelling that is recognized as a misspelling: other case, and an
// underscore.
func misspell(key string) string { return strings.ToUpper(key[:1]) + "_" + key[1:] }

// TestEveryKeyIsReadAndRefusedAsInGoldenFiles guards against a key that is no longer read, or whose
// values are accepted, defaulted or refused differently. It removes each key, misspells each key,
// and sets each key to values of each kind; the golden files contain the lines of readAll that
// differ from the lines of the unchanged settings.
func TestEveryKeyIsReadAndRefusedAsInGoldenFiles(t *testing.T) {
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
		baseline := readAll(write(parse()), asJSON)
		text := "unchanged\n  " + strings.Join(baseline, "\n  ") + "\n"
		addDifferences := func(title string, root any) {
			text += title + "\n"
			for _, line := range readAll(write(root), asJSON) {
				if !slices.Contains(baseline, line) {
					text += "  " + line + "\n"
				}
			}
		}
		for _, path := range leafPaths("", parse()) {
			name := path[strings.LastIndex(path, ".")+1:]
			root := parse()
			replaceValue(root, path, name, nil)
			addDifferences(path+" left out", root)
			root = parse()
			replaceValue(root, path, misspell(name), 7)
			addDifferences(path+" spelled otherwise", root)
			for _, value := range []any{"word", "", "NaN", "Inf", -1, 0, 3.75, 17, 70_000, 1e300, true, false,
				[]any{}, []any{"x"}, []any{"x", "x"}, []any{"true", "true"}, []any{1, 2, 3},
				"silent", "nominal", "live", "automatic", "fraction", "per_second",
				json.RawMessage("null"), map[string]any{"a": 1}} {
				root := parse()
				replaceValue(root, path, name, value)
				shown, _ := json.Marshal(value)
				addDifferences(path+" = "+string(shown), root)
			}
		}
		name := "lines.golden"
		if asJSON {
			name = "nested.golden"
		}
		t.Run(strings.TrimSuffix(name, ".golden"), func(t *testing.T) { golden.Compare(t, name, text) })
	}
}

// TestTimesAndNumbersAreBoundedAsInGoldenFile guards against a change of rounding and bounds in
// FromMilliseconds and Sanitize, which other packages apply to numbers that are not settings.
func TestTimesAndNumbersAreBoundedAsInGoldenFile(t *testing.T) {
	text := ""
	for _, number := range []string{"0", "-0", "-1", "0.0004", "0.0005", "0.0015", "1.4996", "1e3",
		"9007199254740.992", "1e300", "NaN", "+Inf", "-Inf"} {
		x, err := strconv.ParseFloat(number, 64)
		if err != nil {
			t.Fatal(err)
		}
		text += fmt.Sprintf("%s ms: %d us, usable %v\n", number, FromMilliseconds(x), Sanitize(x))
	}
	golden.Compare(t, "figures.golden", text)
}
