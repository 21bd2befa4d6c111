// Package rehearse plays scenarios against real controllers: processes of the very program, with package standin around
// them and package rules as the judge.
package rehearse

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"wheelrill/fake"
	"wheelrill/internal/process"
	"wheelrill/invariant"
)

// Takeover has controllers die under load, again and again, and come back as new. Load is of two classes, one of which
// must not run twice; a worker hangs now and then.
type Takeover struct {
	For       time.Duration
	KillEvery time.Duration
	Instances int
	Relays    int
	Workers   int
	Seed      uint64
	Sharing   bool
	Fenced    bool   // relays ask for tokens, and refuse older ones
	Faults    string // of the kinds below, which are drawn from, with commas
	Calm      bool   // nothing goes wrong at all
	Disk      bool   // members keep the record on disk, and come back as who they were
	Program   string // that is run as a controller
	Folder    string // for logs and configurations; a temporary one if empty
	Progress  func(text string)
	Watch     func(controllers []*process.Controller, ended bool) // as play begins and as it has ended; nil for nobody
}

// Figures of the scenario's installation.
const (
	hangEvery    = 18 * time.Second
	replaceEvery = 13 * time.Second
	warmBy       = 17 * time.Second // that a new process is cold
	grace        = 3000 * time.Millisecond
	slack        = 300 * time.Millisecond // that real sockets get beyond it
	readyIn      = 30 * time.Second
)

func (t *Takeover) name() string {
	if t.Calm {
		return "calm"
	}
	return "takeover"
}

// channel is what a controller's way to its relays bears: lines a second, and how many may wait. One line to all relays
// with the head of its message has to fit, wherever they all are.
func (t *Takeover) channel() (lines, backlog int) {
	return max(900, 6*t.Relays), max(900, 12*t.Relays)
}

// Settings are what every controller is given, in the form of the simulator's first message.
func (t *Takeover) Settings(classes []fake.Class) map[string]any {
	var profiles []map[string]any
	var writes, stays []bool
	for _, c := range classes {
		profiles = append(profiles, map[string]any{"name": c.Name, "target": c.LatencyObjective.Milliseconds(),
			"deadline": c.Deadline.Milliseconds(), "worth": c.PriorityWeight})
		writes, stays = append(writes, c.Writes), append(stays, false)
	}
	lines, backlog := t.channel()
	return map[string]any{"azs": []string{"a", "b", "c"}, "tick": 4.0, "weights": "rough", "membershipMode": "automatic",
		"familyInfo": map[string]any{"admission": "per_second", "backlog": backlog, "egressPerS": lines, "overhead": 4,
			"pushDelayMax": 660, "reportEvery": 1000, "messagesMost": 30, "messagesOver": 10000, "proxyCount": t.Relays,
			"partitionsN": 0, "classWrites": writes, "staysLocal": stays},
		"limits": map[string]any{"mayProbe": false}, "profiles": profiles,
		"reporting": map[string]any{"how": "silent", "fields": []string{}},
		"rules":     map[string]any{"coldShare": 0.16, "rampTime": warmBy.Milliseconds(), "stopSendingWithin": grace.Milliseconds()}}
}

// Run plays it. An error means that it could not be played at all.
func (t *Takeover) Run(ctx context.Context) (*Report, error) {
	if t.Instances < 1 || t.Relays < 1 || t.Sharing && t.Instances < 2 {
		return nil, fmt.Errorf("instances %d, relays %d: one of each at least, two instances where they share", t.Instances, t.Relays)
	}
	folder := t.Folder
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "takeover-"); err != nil {
			return nil, err
		}
	} else if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	classes := []fake.Class{
		{Name: "lookup", LatencyObjective: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, PriorityWeight: 1, Rate: 3},
		{Name: "order", LatencyObjective: 300 * time.Millisecond, Deadline: 1200 * time.Millisecond, PriorityWeight: 3, Writes: true, Rate: 1}}
	addresses, err := process.FreeAddresses(2 * t.Instances)
	if err != nil {
		return nil, err
	}
	lines, backlog := t.channel()
	in, err := fake.NewFleet(fake.FleetConfig{Zones: []string{"a", "b", "c"}, Backends: t.Workers, Cores: 4,
		ServiceTime: 20 * time.Millisecond, Proxies: t.Relays, Fenced: t.Fenced, Classes: classes, ReportInterval: time.Second, Seed: t.Seed},
		invariant.Limits{MaxEmptyTable: grace + slack, DrainGrace: grace + slack, MaxMessages: 30, MessageWindow: 10 * time.Second, LinesPerSecond: float64(lines),
			Backlog: float64(backlog), Margin: 500 * time.Millisecond}, addresses[:t.Instances])
	if err != nil {
		return nil, err
	}
	p := &play{Takeover: t, in: in, folder: folder, random: rand.New(rand.NewPCG(t.Seed, 1)), faults: map[string]int{}, busy: map[*fake.Backend]bool{},
		report: &Report{Scenario: t.name(), Seed: t.Seed, Sharing: t.Sharing, Instances: t.Instances, Relays: t.Relays, Folder: folder}}
	if p.events, err = os.Create(filepath.Join(folder, "events.log")); err != nil {
		in.Close()
		return nil, err
	}
	defer p.end()
	if err := p.set(addresses[:t.Instances], addresses[t.Instances:], classes); err != nil {
		in.Close()
		return nil, err
	}
	for _, i := range p.instances {
		if err := i.Start(); err != nil {
			in.Close()
			return nil, err
		}
	}
	gone := func() bool { return slices.ContainsFunc(p.instances, (*process.Controller).ExitedUnexpectedly) }
	p.waits(ctx, readyIn, func() bool {
		return gone() || !slices.ContainsFunc(p.instances, func(i *process.Controller) bool { return !i.Responds() })
	})
	if gone() || slices.ContainsFunc(p.instances, func(i *process.Controller) bool { return !i.Responds() }) {
		in.Close()
		return nil, fmt.Errorf("the controllers have ended, or do not answer within %s; their logs in %s say why", readyIn, folder)
	}
	in.Start()
	if !p.waits(ctx, readyIn, func() bool {
		all, _ := in.ConnectedProxies(0)
		return all == t.Relays && in.ProxiesUsing(in.Backends[0].ID) == t.Relays
	}) {
		in.Close()
		return nil, fmt.Errorf("the relays have no tables within %s; the controllers' logs are in %s", readyIn, folder)
	}
	return p.play(ctx)
}

// play is one run of the scenario.
type play struct {
	*Takeover
	in        *fake.Fleet
	instances []*process.Controller
	between   map[[2]int]*fake.FaultyLink // between members
	folder    string
	events    *os.File
	random    *rand.Rand
	faults    map[string]int
	busy      map[*fake.Backend]bool // with which something is going on
	report    *Report
	due       []due
}

// due is something that comes later.
type due struct {
	at   time.Time
	what func() error
}

func (p *play) later(after time.Duration, what func() error) {
	p.due = append(p.due, due{time.Now().Add(after), what})
}

func (p *play) waits(ctx context.Context, within time.Duration, until func() bool) bool {
	late := time.After(within)
	for !until() {
		select {
		case <-ctx.Done():
			return false
		case <-late:
			return false
		case <-time.After(50 * time.Millisecond):
		}
	}
	return true
}

// set writes what each controller is started with.
func (p *play) set(listen, members []string, classes []fake.Class) error {
	p.between = map[[2]int]*fake.FaultyLink{}
	for i := range p.Instances {
		name := fmt.Sprint("n", i)
		config, err := process.WriteJSON(p.folder, name+".json", map[string]any{"name": name, "listen": listen[i],
			"discovery": p.in.Discovery.Address(), "seed": fmt.Sprintf("%x", p.Seed+uint64(i)+1),
			"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
			"settings": p.Settings(classes)})
		if err != nil {
			return err
		}
		one := &process.Controller{Name: name, Program: p.Program, Listen: listen[i], Env: []string{"LB_CONFIG=" + config}}
		if p.Sharing {
			all := map[string]string{}
			for j := range p.Instances {
				if all[fmt.Sprint("n", j)] = members[j]; i != j && p.wired() {
					wire, err := fake.NewFaultyLink(members[j])
					if err != nil {
						return err
					}
					p.between[[2]int{i, j}] = wire
					all[fmt.Sprint("n", j)] = wire.Address()
				}
			}
			sharing := map[string]any{"name": name, "members": all, "plain": true}
			if p.Disk {
				sharing["folder"] = filepath.Join(p.folder, name)
			}
			body, err := yaml.Marshal(map[string]any{"sharing": sharing})
			if err != nil {
				return err
			}
			path := filepath.Join(p.folder, name+".yaml")
			if err := os.WriteFile(path, body, 0o600); err != nil {
				return err
			}
			one.Args = []string{"serve", "--options", path}
		}
		if one.Log, err = os.Create(filepath.Join(p.folder, name+".log")); err != nil {
			return err
		}
		p.instances = append(p.instances, one)
	}
	return nil
}

func (p *play) end() {
	p.events.Close()
	for _, i := range p.instances {
		if i.Up {
			_ = i.Signal(syscall.SIGCONT) // one that is frozen would not end
			i.Stop(syscall.SIGKILL)
		}
		i.Log.Close()
	}
	for _, wire := range p.between {
		wire.Close()
	}
}

func (p *play) play(ctx context.Context) (*Report, error) {
	load, before, began := process.StartDelayMonitor(), p.in.Counts(), time.Now()
	if p.Watch != nil {
		p.Watch(p.instances, false)
	}
	var left []time.Duration
	fault, hang, replace := began.Add(p.KillEvery), began.Add(hangEvery/4), began.Add(replaceEvery/4)
	if p.Calm {
		never := began.Add(2 * p.For)
		fault, hang, replace = never, never, never
	}
	for ctx.Err() == nil && time.Since(began) < p.For {
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
		now := time.Now()
		for i := 0; i < len(p.due); i++ {
			if d := p.due[i]; now.After(d.at) {
				p.due = slices.Delete(p.due, i, i+1)
				i--
				if err := d.what(); err != nil {
					return nil, err
				}
			}
		}
		if now.After(fault) {
			fault = fault.Add(p.KillEvery)
			if err := p.fault(); err != nil {
				return nil, err
			}
		}
		if now.After(hang) {
			hang = hang.Add(hangEvery)
			p.hang(&left)
		}
		if now.After(replace) {
			replace = replace.Add(replaceEvery)
			p.replace()
		}
		for _, i := range p.instances {
			if i.ExitedUnexpectedly() {
				return nil, fmt.Errorf("%s has ended by itself; its log is %s", i.Name, i.Log.Name())
			}
		}
	}
	p.report.Seconds = time.Since(began).Seconds()
	if p.Watch != nil {
		p.Watch(p.instances, true)
	}
	verdict, after := p.in.Close()
	hundredth, most := load.Stop()
	p.sum(verdict, before, after, left)
	p.judge(verdict, hundredth, most)
	return p.report, nil
}

// say tells who watches, and notes it beside the controllers' logs.
func (p *play) say(format string, args ...any) {
	fmt.Fprintf(p.events, "time=%s event=rehearsal text=%q\n", time.Now().UTC().Format("15:04:05.000000"), fmt.Sprintf(format, args...))
	if p.Progress != nil {
		p.Progress(fmt.Sprintf(format, args...))
	}
}
