package scale

import (
	"fmt"
	"runtime"
	"time"

	"github.com/prometheus/procfs"

	"wheelrill/internal/process"
	"wheelrill/scale/results"
)

// Limits of the memory, processes and time that a run may take on this machine.
const (
	memoryShare  = 2                // a run may take the memory of the machine divided by this number
	maxProcesses = 100              // largest number of processes that a run may start at a time
	maxTime      = 20 * time.Minute // longest time that the measurement of one size may take
)

// RefusedError is returned for a run that was not started: one of its sizes cannot be measured, or
// needs more memory, processes or time than a run may take.
type RefusedError struct{ reason string }

// Error returns the reason of the refusal, and what would be accepted instead.
func (r *RefusedError) Error() string { return r.reason }

// thisMachine returns the number of cores and the memory of the machine.
func thisMachine() (results.Machine, error) {
	proc, err := procfs.NewDefaultFS()
	if err != nil {
		return results.Machine{}, err
	}
	memory, err := proc.Meminfo()
	if err != nil {
		return results.Machine{}, err
	}
	return results.Machine{Cores: runtime.NumCPU(), Memory: int64(*memory.MemTotalBytes)}, nil
}

// checkMachine returns a *RefusedError if a size cannot be measured, or needs more than a run may
// take.
func checkMachine(machine results.Machine, size int, needs Needs) error {
	switch {
	case needs.Refusal != "":
		return &RefusedError{needs.Refusal}
	case needs.Memory > machine.Memory/memoryShare:
		return &RefusedError{fmt.Sprintf("size %d needs about %d MB, and half of this machine's memory is %d MB; give smaller sizes", size,
			needs.Memory>>20, machine.Memory/memoryShare>>20)}
	case needs.Processes > maxProcesses:
		return &RefusedError{fmt.Sprintf("size %d needs %d processes, and %d at most are allowed; give smaller sizes", size,
			needs.Processes, maxProcesses)}
	case needs.Time > maxTime:
		return &RefusedError{fmt.Sprintf("size %d takes about %s, and %s at most is allowed; give a shorter --for", size,
			needs.Time, maxTime)}
	}
	return nil
}

// currentLoad returns the load average of the machine over the last minute, or 0 if it is unknown.
func currentLoad() float64 {
	proc, err := procfs.NewDefaultFS()
	if err != nil {
		return 0
	}
	load, err := proc.LoadAvg()
	if err != nil {
		return 0
	}
	return load.Load1
}

// delayWatch measures how late this process is scheduled. If the scheduling delays are too long,
// the measured times are not valid.
type delayWatch struct{ monitor *process.DelayMonitor }

func watchDelays() delayWatch { return delayWatch{process.StartDelayMonitor()} }

// inconclusiveReason ends the watch. If the scheduling delays were too long for a verdict, it
// returns a text that says so, otherwise "".
func (w delayWatch) inconclusiveReason() string {
	p99, _ := w.monitor.Stop()
	if !process.TooBusy(p99) {
		return ""
	}
	return fmt.Sprintf("one turn in a hundred was %s late, %s at most; leave the machine more room", p99.Round(time.Millisecond), process.MaxDelay)
}
