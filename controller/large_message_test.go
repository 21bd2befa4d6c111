package controller

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// TestReducedMessagesMeanTheSame guards against a large message that is taken otherwise than the same
// message without the fields that nobody reads.
func TestReducedMessagesMeanTheSame(t *testing.T) {
	for text, want := range map[string]string{
		`{"msg":"probe"}`: `{"msg":"probe"}`,
		`{"a":{"msg":1,"x":[{},[],null]},"msg":"outcomes","total":1e3,"cold":true,"errors":null}`: `{"msg":"outcomes","total":1e3,"cold":true,"errors":null}`,
		`{"metrics":{"util":0.5,"other":{"util":9},"queue":2},"rtt":[1,2],"endpoint":{"a":1}}`:    `{"metrics":{"util":0.5,"queue":2},"rtt":[],"endpoint":{}}`,
		`{"metrics":[{"util":1}],"endpoint":"` + strings.Repeat("x", maxFieldText+1) + `"}`:       `{"metrics":[],"endpoint":""}`,
		`{"total":` + strings.Repeat("1", maxFieldText+1) + `,"node":-0.5E-3}`:                    `{"total":"","node":-0.5E-3}`,
		`{"\u006dsg":"pro\u0062e"}`: `{"msg":"probe"}`,
	} {
		reduced, duplicate, err := reduceMessage([]byte(text), func() error { return nil })
		if err != nil || duplicate || string(reduced) != want {
			t.Errorf("%.80s\ngave %s, duplicate key %v, error %v, want %s", text, reduced, duplicate, err, want)
		}
	}
	for _, text := range []string{`{"a":1,"a":2}`, `{"x":[{"b":{"c":1,"c":2}}]}`, `{"msg":"a","\u006dsg":"b"}`} {
		if _, duplicate, err := reduceMessage([]byte(text), func() error { return nil }); err != nil || !duplicate {
			t.Errorf("%s: duplicate key %v, error %v, want a duplicate key", text, duplicate, err)
		}
	}
	stopped := errors.New("stopped")
	many := `{"a":[` + strings.Repeat("1,", 2*tokensPerPause) + `1]}`
	if _, _, err := reduceMessage([]byte(many), func() error { return stopped }); !errors.Is(err, stopped) {
		t.Errorf("error %v after the pause, want %v", err, stopped)
	}
	deep := strings.Repeat(`{"a":`, maxMessageDepth) + `1` + strings.Repeat(`}`, maxMessageDepth)
	if _, _, err := reduceMessage([]byte(deep), func() error { return nil }); err != nil {
		t.Errorf("error %v in the deepest message that is allowed", err)
	}
	for _, text := range []string{``, `[]`, `"x"`, `{`, `{"a"`, `{"a":}`, `{"a":1}{}`, `{"a":1} x`, `{"a":[1}`, `{"a":` + deep + `}`,
		fmt.Sprint(`{"a":`, strings.Repeat("[", 100_000))} {
		if _, _, err := reduceMessage([]byte(text), func() error { return nil }); !errors.Is(err, errUnreadable) {
			t.Errorf("%.60s: error %v, want %v", text, err, errUnreadable)
		}
	}
}
