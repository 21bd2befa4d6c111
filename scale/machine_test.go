package scale

import (
	"errors"
	"testing"

	"wheelrill/scale/results"
)

// TestSizesAboveTheLimitsOfARunAreRefused guards against runs that start although they need
// more memory, processes or time than a run may take of the machine.
func TestSizesAboveTheLimitsOfARunAreRefused(t *testing.T) {
	machine := results.Machine{Cores: 8, Memory: 8 << 30}
	var refused *RefusedError
	for _, needs := range []Needs{{Memory: 5 << 30}, {Processes: 101}, {Time: maxTime + 1}} {
		if err := checkMachine(machine, 7, needs); !errors.As(err, &refused) {
			t.Errorf("needs %+v: error %v; want a *RefusedError", needs, err)
		}
	}
	if err := checkMachine(machine, 7, Needs{Memory: 3 << 30, Processes: 100, Time: maxTime}); err != nil {
		t.Errorf("needs at the limits: error %v; want the run to be accepted", err)
	}
}
