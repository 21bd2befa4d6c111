package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"wheelrill/controller"
)

// logLines hands on what is logged.
type logLines chan string

func (l logLines) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

func TestHangUpsReloadAndSIGTERMEnds(t *testing.T) {
	sample, err := os.ReadFile("../../deploy/sample.json")
	if err != nil {
		t.Fatal(err)
	}
	good := strings.Replace(string(sample), `"127.0.0.1:8443"`, `"127.0.0.1:0"`, 1)
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("LB_CONFIG", path)
	t.Setenv("LB_DISCOVERY", "127.0.0.1:7")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(good)
	logged := make(logLines, 1024)
	ended := make(chan error, 1)
	go func() { ended <- serve(contextOfSignals(), hangUpSignals(), "", controller.NewLogger(logged)) }()
	awaitLine := func(some string) {
		for line := range logged {
			if strings.Contains(line, some) {
				return
			}
		}
	}
	awaitLine("msg=serving")
	for text, answer := range map[string]string{good: "msg=configuration_reloaded discovery=127.0.0.1:8500",
		good[:len(good)/2]: "msg=reload_refused", "": "msg=reload_refused"} {
		write(text)
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		awaitLine(answer)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Errorf("ended with %v", err)
	}
}
