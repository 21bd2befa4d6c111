package scale

import (
	"fmt"
	"runtime"
	"time"

	"github.com/prometheus/procfs"

	"wheelrill/internal/process"
	"wheelrill/scale/results"
)

// What a run may take of the machine.
const (
	memoryShare  = 2                // one part in so many
	maxProcesses = 100              // at a time
	maxTime      = 20 * time.Minute // for one size
)

// RefusedError is why a run was not begun: the machine would not bear it.
type RefusedError struct{ reason string }

// Error says why, and what would do.
func (r *RefusedError) Error() string { return r.reason }

// thisMachine reads what the machine has.
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

// checkMachine gives a *RefusedError where a size cannot be measured, or needs more than a run may take.
func checkMachine(machine results.Machine, size int, needs Needs) error {
	switch {
	case needs.Refusal != "":
		return &RefusedError{needs.Refusal}
	case needs.Memory > machine.Memory/memoryShare:
		return &RefusedError{fmt.Sprintf("size %d needs about %d MB, and half of this machine's memory is %d MB; give smaller sizes", size,
			needs.Memory>>20, machine.Memory/memoryShare>>20)}
	case needs.Processes > maxProcesses:
		return &RefusedError{fmt.Sprintf("size %d needs %d processes, %d at most; give smaller sizes", size, needs.Processes, maxProcesses)}
	case needs.Time > maxTime:
		return &RefusedError{fmt.Sprintf("size %d takes about %s, %s at most; give a shorter --for", size, needs.Time, maxTime)}
	}
	return nil
}

// currentLoad is the load average over the last minute, 0 where it is not known.
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

// delayWatch watches how late this process gets its turns. Where it gets them too late nothing that was timed means anything.
type delayWatch struct{ monitor *process.DelayMonitor }

func watchDelays() delayWatch { return delayWatch{process.StartDelayMonitor()} }

// inconclusiveReason ends the watch, and says why nothing can be judged; empty where it can.
func (w delayWatch) inconclusiveReason() string {
	p99, _ := w.monitor.Stop()
	if !process.TooBusy(p99) {
		return ""
	}
	return fmt.Sprintf("one turn in a hundred was %s late, %s at most; leave the machine more room", p99.Round(time.Millisecond), process.MaxDelay)
}
