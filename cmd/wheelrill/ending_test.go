package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second // maximum time of each wait in a test

// process is a child process that runs this program. log receives the lines of its standard error.
type process struct {
	*exec.Cmd
	log chan string
}

// startProgram starts the program with a configuration file. The process is killed when the test
// ends.
func startProgram(t *testing.T, configuration string, arguments ...string) *process {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return startProcess(t, exec.Command(program, arguments...), configuration)
}

// startProcess starts a command that runs this program, like startProgram.
func startProcess(t *testing.T, command *exec.Cmd, configuration string) *process {
	t.Helper()
	p := &process{command, make(chan string, 1024)}
	// atexit_sleep_ms=0 removes the second by which the race detector delays the exit of a process
	// by default.
	p.Env = append(os.Environ(), runAsProgramEnv+"=yes", "GORACE=atexit_sleep_ms=0", "LB_CONFIG="+configuration,
		"LB_DISCOVERY=127.0.0.1:7", "LB_LISTEN=127.0.0.1:0")
	stderr, err := p.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill() })
	go func() {
		defer close(p.log)
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			p.log <- lines.Text()
		}
	}()
	return p
}

// awaitLine waits for a log line that contains a text, and returns it. It discards all lines before it.
func (p *process) awaitLine(t *testing.T, text string) (found string) {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case line, open := <-p.log:
			if !open {
				t.Fatalf("the process exited before it logged %q", text)
			}
			if strings.Contains(line, text) {
				return line
			}
		case <-timeout:
			t.Fatalf("the process did not log %q within %v", text, testTimeout)
		}
	}
}

// awaitExit waits until the process has exited. It must exit by itself, with code 0, and within 700
// ms of the signal, before the platform kills it.
func (p *process) awaitExit(t *testing.T, since time.Time) {
	t.Helper()
	for range p.log { // discard log lines until the process closes its standard error
	}
	if err := p.Wait(); err != nil {
		t.Errorf("the process exited with %v, want exit code 0", err)
	}
	if took := time.Since(since); took > 700*time.Millisecond {
		t.Errorf("the process exited %v after the signal, want at most 700ms", took)
	}
}

// makeFIFO creates a FIFO, from which every read blocks. The returned function waits until the
// process has opened the FIFO for reading. It keeps the FIFO open for writing, but writes nothing.
func makeFIFO(t *testing.T, path string) (openWriter func()) {
	t.Helper()
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	return func() {
		// OpenFile blocks until the process opens the FIFO for reading.
		file, err := os.OpenFile(path, os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { file.Close() })
	}
}

// TestSIGTERMEndsTheProcessInEveryPhase guards against a process that does not exit on SIGTERM
// before the platform kills it: because it is blocked in reading its configuration or waits for
// discovery, or because a further SIGTERM kills it during the shutdown.
func TestSIGTERMEndsTheProcessInEveryPhase(t *testing.T) {
	sample, err := filepath.Abs("../../deploy/sample.json")
	if err != nil {
		t.Fatal(err)
	}
	t.Run("while the configuration is read", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "config.json")
		openWriter := makeFIFO(t, path)
		p := startProgram(t, path)
		openWriter()
		signaledAt := time.Now()
		p.Process.Signal(syscall.SIGTERM)
		p.awaitExit(t, signaledAt)
	})
	t.Run("while a reload reads the configuration", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.Symlink(sample, path); err != nil {
			t.Fatal(err)
		}
		p := startProgram(t, path)
		p.awaitLine(t, "msg=serving")
		os.Remove(path)
		openWriter := makeFIFO(t, path)
		p.Process.Signal(syscall.SIGHUP)
		openWriter()
		signaledAt := time.Now()
		p.Process.Signal(syscall.SIGTERM)
		p.awaitExit(t, signaledAt)
	})
	t.Run("before discovery has answered, and repeatedly until the process exits", func(t *testing.T) {
		p := startProgram(t, sample)
		p.awaitLine(t, "msg=serving")
		signaledAt, signalingDone := time.Now(), make(chan struct{})
		go func() {
			defer close(signalingDone)
			for p.Process.Signal(syscall.SIGTERM) == nil {
			}
		}()
		p.awaitExit(t, signaledAt)
		<-signalingDone
	})
}
