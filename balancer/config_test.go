package balancer

import (
	"errors"
	"testing"
)

func TestNewRejectsInvalidConfig(t *testing.T) {
	for name, testCase := range map[string]struct {
		change func(config *Config)
		want   error
	}{
		"one class":        {func(*Config) {}, nil},
		"sixteen classes":  {func(config *Config) { config.Classes = make([]Class, 16) }, nil},
		"no classes":       {func(config *Config) { config.Classes = nil }, ErrClassCount},
		"too many classes": {func(config *Config) { config.Classes = make([]Class, 17) }, ErrClassCount},
		"negative shards":  {func(config *Config) { config.Sharding.Count = -1 }, ErrShardCount},
	} {
		t.Run(name, func(t *testing.T) {
			config := Config{Classes: make([]Class, 1)}
			testCase.change(&config)
			host := &transcriptHost{}
			controller, err := New(host, config)
			if !errors.Is(err, testCase.want) {
				t.Errorf("got error %v, want %v", err, testCase.want)
			}
			if created := controller != nil; created != (testCase.want == nil) {
				t.Errorf("controller created: %v, want %v", created, !created)
			}
			if timers := len(host.timers); (timers > 0) != (testCase.want == nil) {
				t.Errorf("%d timers were set; want some only if New succeeds", timers)
			}
		})
	}
}
