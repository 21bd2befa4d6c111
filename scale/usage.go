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
		panic(err) // Getrusage fails only if it is called with a wrong argument
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// threadTime returns the processor time that the operating system thread of the calling goroutine
// has taken so far. The goroutine has to be locked to this thread.
func threadTime() time.Duration {
	var clock unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &clock); err != nil {
		panic(err) // ClockGettime fails only if it is called with a wrong argument
	}
	return time.Duration(clock.Nano())
}

// processorTimeOf returns the processor time that a call of do takes.
func processorTimeOf(do func()) time.Duration {
	began := processorTime()
	do()
	return processorTime() - began
}

// heapInUse returns the number of heap bytes in use after two garbage collections.
func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // the first collection may leave objects that finalizers still hold
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// usage holds the resources that a process has taken, according to /proc/PID/stat. The processor
// time is precise to a hundredth of a second, which is enough for measurements that observe a size
// for some seconds. Measurements of shorter spans need preciseUsage.
type usage struct {
	processor time.Duration // processor time since the start of the process
	resident  int64         // resident memory in bytes at the time of reading
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
// and with peak memory. Measurements of starts, of single changes and of peak memory use it.
type preciseUsage struct {
	processor time.Duration // processor time since the start of the process
	resident  int64         // resident memory in bytes at the time of reading
	peak      int64         // largest resident memory of the process so far, in bytes
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

// processorClock returns the id of the clock that counts the processor time of a process. It
// computes the id as clock_getcpuclockid(3) does.
func processorClock(pid int) int32 {
	const scheduled = 2 // value of the kernel's CPUCLOCK_SCHED: time in user and system mode, precise to the nanosecond
	return int32(^pid)<<3 | scheduled
}

// statusBytes returns a figure of /proc/PID/status in bytes. The file gives the figure in
// kilobytes, in the line that begins with key. statusBytes returns 0 if the line is missing or has
// no number.
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
