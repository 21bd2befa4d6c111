package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"wheelrill/controller"
)

// logLines is a writer that sends each log line to the channel.
type logLines chan string

func (l logLines) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

// TestSIGHUPReloadsAndSIGTERMEndsServe guards against a SIGHUP that does not reload the
// configuration, or applies an invalid one, and against a SIGTERM that does not end serve.
func TestSIGHUPReloadsAndSIGTERMEndsServe(t *testing.T) {
	sample, err := os.ReadFile("../../deploy/sample.json")
	if err != nil {
		t.Fatal(err)
	}
	valid := strings.Replace(string(sample), `"127.0.0.1:8443"`, `"127.0.0.1:0"`, 1)
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("LB_CONFIG", path)
	t.Setenv("LB_DISCOVERY", "127.0.0.1:7")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(valid)
	logged := make(logLines, 1024)
	ended := make(chan error, 1)
	go func() { ended <- serve(terminationContext(), notifyHangUps(), "", controller.NewLogger(logged)) }()
	awaitLine := func(text string) {
		for line := range logged {
			if strings.Contains(line, text) {
				return
			}
		}
	}
	awaitLine("msg=serving")
	for configuration, logLine := range map[string]string{valid: "msg=configuration_reloaded discovery=127.0.0.1:8500",
		valid[:len(valid)/2]: "msg=reload_refused", "": "msg=reload_refused"} {
		write(configuration)
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		awaitLine(logLine)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Errorf("serve returned %v, want no error after SIGTERM", err)
	}
}
