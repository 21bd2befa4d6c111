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

// processorTime returns the user and system time that this process has taken so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // only a wrong argument makes it fail
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// threadTime returns the processor time that this thread has taken so far. The calling goroutine
// has to be locked to its thread.
func threadTime() time.Duration {
	var clock unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &clock); err != nil {
		panic(err) // only a wrong argument makes it fail
	}
	return time.Duration(clock.Nano())
}

// processorTimeOf returns the processor time that a call of do takes.
func processorTimeOf(do func()) time.Duration {
	began := processorTime()
	do()
	return processorTime() - began
}

// heapInUse returns the bytes of heap in use after a garbage collection.
func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // the first one may leave objects that finalizers hold
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// usage holds the resources that a process has taken, according to /proc/PID/stat. The processor
// time is precise to a hundredth of a second, which is enough over the seconds that a size is
// observed. Shorter spans need preciseUsage.
type usage struct {
	processor time.Duration // processor time since the start of the process
	resident  int64         // resident memory when it was read, in bytes
}

// readUsage reads the resources that a process has taken from /proc/PID/stat.
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

// preciseUsage holds the resources that a process has taken, with processor time to the nanosecond
// and peak memory. It serves measurements of starts, of single changes, and of peak memory.
type preciseUsage struct {
	processor time.Duration // processor time since the start of the process
	resident  int64         // resident memory when it was read, in bytes
	peak      int64         // largest resident memory so far, in bytes
}

// readPreciseUsage reads the resources that a process has taken from its processor clock and from
// /proc/PID/status.
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

// processorClock returns the clock of the processor time of another process, as
// clock_getcpuclockid(3) does.
func processorClock(pid int) int32 {
	const scheduled = 2 // CPUCLOCK_SCHED of the kernel: time in user and system mode, to the nanosecond
	return int32(^pid)<<3 | scheduled
}

// statusBytes returns the figure of a line of /proc/PID/status, which is in kilobytes, as bytes. It
// returns 0 if the line is missing.
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
