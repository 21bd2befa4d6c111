package balancer

import (
	"errors"
	"testing"
)

func TestNewRefusesFiguresThatCannotBeUsed(t *testing.T) {
	for name, of := range map[string]struct {
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
			of.change(&config)
			host := &transcriptHost{}
			control, err := New(host, config)
			if !errors.Is(err, of.want) {
				t.Errorf("got error %v, want %v", err, of.want)
			}
			if made := control != nil; made != (of.want == nil) {
				t.Errorf("a controller was made: %v", made)
			}
			if timers := len(host.timers); (timers > 0) != (of.want == nil) {
				t.Errorf("%d timers were set", timers)
			}
		})
	}
}
