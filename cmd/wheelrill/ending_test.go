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

const testTimeout = 20 * time.Second // bounds what a test waits for

// process is the program itself, with its log line by line.
type process struct {
	*exec.Cmd
	log chan string
}

func startProgram(t *testing.T, configuration string, arguments ...string) *process {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{exec.Command(program, arguments...), make(chan string, 1024)}
	// The race detector would have the process sleep for a second at its end.
	p.Env = append(os.Environ(), asProgram+"=yes", "GORACE=atexit_sleep_ms=0", "LB_CONFIG="+configuration, "LB_DISCOVERY=127.0.0.1:7", "LB_LISTEN=127.0.0.1:0")
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

func (p *process) awaitLine(t *testing.T, some string) {
	t.Helper()
	late := time.After(testTimeout)
	for {
		select {
		case line, open := <-p.log:
			if !open {
				t.Fatalf("it ended without %q", some)
			}
			if strings.Contains(line, some) {
				return
			}
		case <-late:
			t.Fatalf("no line %q", some)
		}
	}
}

// awaitEnd waits for the process, which must end by itself, with code 0 and before the platform kills it.
func (p *process) awaitEnd(t *testing.T, since time.Time) {
	t.Helper()
	for range p.log { // until its log is closed
	}
	if err := p.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
	if spent := time.Since(since); spent > 700*time.Millisecond {
		t.Errorf("it took %v", spent)
	}
}

// makePipe makes a file that is open for reading and never filled, once held is called.
func makePipe(t *testing.T, path string) (held func()) {
	t.Helper()
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	return func() {
		file, err := os.OpenFile(path, os.O_WRONLY, 0) // waits for who reads
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { file.Close() })
	}
}

func TestSIGTERMEndsInTimeWhateverIsGoingOn(t *testing.T) {
	sample, err := filepath.Abs("../../deploy/sample.json")
	if err != nil {
		t.Fatal(err)
	}
	t.Run("while the configuration is read", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "config.json")
		held := makePipe(t, path)
		p := startProgram(t, path)
		held()
		began := time.Now()
		p.Process.Signal(syscall.SIGTERM)
		p.awaitEnd(t, began)
	})
	t.Run("while a reload reads", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.Symlink(sample, path); err != nil {
			t.Fatal(err)
		}
		p := startProgram(t, path)
		p.awaitLine(t, "msg=serving")
		os.Remove(path)
		held := makePipe(t, path)
		p.Process.Signal(syscall.SIGHUP)
		held()
		began := time.Now()
		p.Process.Signal(syscall.SIGTERM)
		p.awaitEnd(t, began)
	})
	t.Run("before discovery has answered, and again and again until the end", func(t *testing.T) {
		p := startProgram(t, sample)
		p.awaitLine(t, "msg=serving")
		began, over := time.Now(), make(chan struct{})
		go func() {
			defer close(over)
			for p.Process.Signal(syscall.SIGTERM) == nil {
			}
		}()
		p.awaitEnd(t, began)
		<-over
	})
}
