package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// cases holds how each case is played. Those of the second line are trials that the report names, and no cases.
var cases = map[string]func(*lab){
	"cold-zone": coldZone, "cold-out": coldOut, "twice": appliedTwice, "empty": emptyChange, "shrink": shrink,
	"fence": fenceAfterRestart, "flap": flappingStream, "stall": leaseAndGrace, "voters": voterRestarts, "messages": messagesWithoutTables, "backlog": backlogWithLimits,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case from the root of the checkout, and returns its exit code: 1 if the rule was broken, 0 if
// it held, 2 if the case could not run.
func play(name, record string) (code int) {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	root, _ := os.Getwd()
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	keep := os.Getenv("KEEP") != ""
	l := &lab{root: root, folder: folder, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: bufio.NewWriter(file)}
	defer func() {
		reason := recover()
		l.close()
		if stopped, ok := reason.(fault); ok {
			l.note("could not run: %s", stopped.reason)
			fmt.Println("could not run:", stopped.reason)
			code = 2
		} else if reason != nil {
			l.note("could not run: %v", reason)
			code = 2
		}
		l.mutex.Lock()
		l.record.Flush()
		l.mutex.Unlock()
		if keep {
			fmt.Println("kept", filepath.Clean(folder))
		} else {
			os.RemoveAll(folder)
		}
	}()
	l.note("case %s, disruption %v", name, l.trouble)
	busy := watchDelays()
	cases[name](l)
	if late, longest := busy(); late > 100*time.Millisecond {
		cannotRun("the machine is too busy: one timer in a hundred is %v late, the latest one %v", late, longest)
	} else {
		l.note("one timer in a hundred was %v late, the latest one %v", late, longest)
	}
	if l.violations > 0 {
		fmt.Printf("%s: the rule was broken (%d times)\n", name, l.violations)
		return 1
	}
	fmt.Printf("%s: the rule held\n", name)
	return 0
}

// watchDelays measures how late timers are. The function that it returns ends that, and gives the delay that
// one timer in a hundred exceeded, and the longest.
func watchDelays() func() (late, longest time.Duration) {
	stop, done := make(chan struct{}), make(chan []time.Duration)
	go func() {
		var delays []time.Duration
		for {
			began := time.Now()
			select {
			case <-stop:
				done <- delays
				return
			case <-time.After(10 * time.Millisecond):
				delays = append(delays, time.Since(began)-10*time.Millisecond)
			}
		}
	}()
	return func() (late, longest time.Duration) {
		close(stop)
		delays := <-done
		slices.Sort(delays)
		return delays[len(delays)*99/100], delays[len(delays)-1]
	}
}

// settings returns the settings of a small deployment, in most with the figures of santiago-enlace; changes replace some of them, by path within the
// groups.
func settings(zones []string, local bool, proxies int, info, rules map[string]any) map[string]any {
	family := map[string]any{
		"admission": "per_second", "backlog": 900.0, "egressPerS": 900.0, "overhead": 4.0, "pushDelayMax": 660.0,
		"propagation": 265.0, "reportEvery": 2000.0, "messagesMost": 30, "messagesOver": 10000.0, "proxyCount": proxies, "socketsMin": 80.0,
		"partitionsN": 0, "classWrites": []bool{false, true}, "staysLocal": []bool{local, local}, "blackhole": 4700.0, "initialSet": 6,
	}
	for key, value := range info {
		family[key] = value
	}
	limits := map[string]any{"coldShare": 0.16, "rampTime": 17000.0, "stopSendingWithin": 3000.0}
	for key, value := range rules {
		limits[key] = value
	}
	return map[string]any{
		"azs": zones, "tick": 4.0, "weights": "rough", "membershipMode": "automatic", "familyInfo": family,
		"limits": map[string]any{"mayProbe": false},
		"profiles": []map[string]any{
			{"name": "lookup", "target": 1500.0, "deadline": 4000.0, "worth": 1.0},
			{"name": "order", "target": 800.0, "deadline": 2000.0, "worth": 3.0},
		},
		"reporting": map[string]any{"how": "silent", "fields": []string{}}, "rules": limits,
	}
}

// muscatSettings returns settings with the channel, the messages and the grace of muscat-union.
func muscatSettings(zones []string, local bool, proxies int) map[string]any {
	return settings(zones, local, proxies, map[string]any{"reportEvery": 1000.0, "egressPerS": 1400.0, "backlog": 2800.0, "overhead": 3.0, "propagation": 230.0,
		"pushDelayMax": 575.0, "messagesMost": 12, "socketsMin": 230.0}, map[string]any{"stopSendingWithin": 1500.0})
}

// muscatDelay draws how long a message takes from the channel to a proxy, 230 ms on average.
func muscatDelay() time.Duration { return time.Duration(rand.IntN(460)) * time.Millisecond }

// santiagoRedial draws how long a proxy waits before it dials again.
func santiagoRedial() time.Duration { return time.Duration(470+rand.IntN(1900)) * time.Millisecond }

// santiagoDelay draws the same as muscatDelay, 250 ms on average.
func santiagoDelay() time.Duration { return time.Duration(100+rand.IntN(300)) * time.Millisecond }

var classNames = []string{"lookup", "order"}
