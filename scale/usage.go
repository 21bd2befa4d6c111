package scale

import (
	"bytes"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// processorTime is what this process has spent so far, in user and system mode.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // only a wrong argument makes it fail
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// threadTime is what this thread has spent so far; its goroutine has to be locked to it.
func threadTime() time.Duration {
	var clock unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &clock); err != nil {
		panic(err) // only a wrong argument makes it fail
	}
	return time.Duration(clock.Nano())
}

// processorTimeOf is the processor time that doing something takes.
func processorTimeOf(do func()) time.Duration {
	began := processorTime()
	do()
	return processorTime() - began
}

// heapInUse is the heap in use once garbage has been collected.
func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // the first one may leave what finalizers hold
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// usage is what a process has taken, as /proc/PID/stat tells it: processor time to a hundredth of a second, which is
// enough over the seconds that a size is observed. What is shorter takes preciseUsage.
type usage struct {
	processor time.Duration // since its start
	resident  int64         // resident bytes now
}

// readUsage reads what a process has taken.
func readUsage(pid int) (usage, error) {
	proc, err := procfs.NewProc(pid)
	if err != nil {
		return usage{}, err
	}
	stat, err := proc.Stat()
	if err != nil {
		return usage{}, err
	}
	return usage{time.Duration(stat.CPUTime() * float64(time.Second)), int64(stat.ResidentMemory())}, nil
}

// preciseUsage is what a process has taken, with processor time to the nanosecond and the most memory that it held: for
// starts, single changes, and wherever the peak of memory counts.
type preciseUsage struct {
	processor time.Duration
	resident  int64 // bytes of memory now
	peak      int64 // the most it ever held
}

// readPreciseUsage reads what a process has spent and holds.
func readPreciseUsage(pid int) (u preciseUsage, err error) {
	var clock unix.Timespec
	if err := unix.ClockGettime(processorClock(pid), &clock); err != nil {
		return u, fmt.Errorf("processor time of process %d: %w", pid, err)
	}
	u.processor = time.Duration(clock.Nano())
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	u.resident = statusBytes(status, "VmRSS:")
	u.peak = statusBytes(status, "VmHWM:")
	return u, nil
}

// processorClock is the clock of the processor time of another process, as clock_getcpuclockid(3) gives it.
func processorClock(pid int) int32 {
	const scheduled = 2 // user and system mode, to the nanosecond
	return int32(^pid)<<3 | scheduled
}

// statusBytes finds a line of /proc/PID/status, and gives its figure in bytes; 0 if it is not there.
func statusBytes(status []byte, key string) int64 {
	_, rest, _ := bytes.Cut(status, []byte("\n"+key))
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	n, err := strconv.ParseInt(string(fields[0]), 10, 64)
	if err != nil {
		return 0
	}
	return n << 10
}
