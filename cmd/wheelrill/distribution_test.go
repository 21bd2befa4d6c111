package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// freeAddresses returns n loopback addresses that are not in use.
func freeAddresses(t *testing.T, n int) (free []string) {
	t.Helper()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		free = append(free, l.Addr().String())
	}
	return free
}

// TestChangeAtAVoterReachesASubscriber guards against a change of the distributed configuration
// that does not reach a subscriber. It runs the program as two voters and one subscriber, changes
// the configuration file of a voter and sends SIGHUP to that voter.
func TestChangeAtAVoterReachesASubscriber(t *testing.T) {
	sample, err := os.ReadFile("../../deploy/sample.json")
	if err != nil {
		t.Fatal(err)
	}
	folder, voterAddresses := t.TempDir(), freeAddresses(t, 2)
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	members := fmt.Sprintf("    n0: %s\n    n1: %s\n", voterAddresses[0], voterAddresses[1])
	start := func(name, options string) *process {
		configuration := write(name+".json", string(sample))
		return startProgram(t, configuration, "serve", "--options", write(name+".yaml", options))
	}
	voterOptions := func(name string) string {
		return "sharing:\n  plain: true\n  name: " + name + "\n  members:\n" + members + "distribution:\n  role: voter\n"
	}
	voters := []*process{start("n0", voterOptions("n0")), start("n1", voterOptions("n1"))}
	subscriber := start("s1",
		"distribution:\n  role: subscriber\n  name: s1\n  plain: true\n  scopes: [pricing]\n  parents:\n"+members)
	for _, v := range voters {
		v.awaitLine(t, "msg=quorum_changed quorum=true")
	}
	changedConfiguration := strings.Replace(string(sample), `"seed"`,
		`"distributed": {"pricing": {"drain": {"s-5be2a07c": true}}}, "seed"`, 1)
	write("n1.json", changedConfiguration)
	if err := voters[1].Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	voters[1].awaitLine(t, "msg=change_accepted revision=1")
	subscriber.awaitLine(t, "msg=configuration_applied revision=1")
}
