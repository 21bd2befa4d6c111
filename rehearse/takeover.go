// Package rehearse plays scenarios against real controllers: processes of the very program, with package standin around
// them and package rules as the judge.
package rehearse

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"wheelrill/internal/process"
	"wheelrill/rules"
	"wheelrill/standin"
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
	Watch     func(controllers []*process.Instance, ended bool) // as play begins and as it has ended; nil for nobody
}

// Report is what a rehearsal has shown.
type Report struct {
	Scenario   string         `json:"scenario"`
	Seed       uint64         `json:"seed"`
	Sharing    bool           `json:"sharing"`
	Instances  int            `json:"instances"`
	Relays     int            `json:"relays"`
	Seconds    float64        `json:"seconds"`
	Faults     map[string]int `json:"faults"`
	Verdict    string         `json:"verdict"` // kept, broken, or could not be judged
	Why        string         `json:"why,omitempty"`
	Breaches   []rules.Breach `json:"breaches"`
	Broken     map[string]int `json:"broken"`
	Effects    int            `json:"effects"`
	BareMost   float64        `json:"longest_without_a_line_s"`
	Messages   int            `json:"most_messages_to_a_relay"`
	Served     float64        `json:"value_served"` // share of what was asked for, in time
	Lost       int            `json:"lost"`
	Refused    int            `json:"refused"`
	Came       int            `json:"came"`
	Takeovers  int            `json:"streams_begun"`
	JoinLines  float64        `json:"lines_in_the_first_second_of_a_stream"`
	Lines      int            `json:"lines"`
	Orders     int            `json:"orders"`
	Stale      int            `json:"orders_refused_as_of_an_older_owner"`
	Hangs      int            `json:"hangs"`
	Replaced   int            `json:"workers_replaced"`
	LeaveMean  float64        `json:"left_a_hung_worker_after_s_mean"`
	LeaveMost  float64        `json:"left_a_hung_worker_after_s_most"`
	IntoHang   int            `json:"tries_into_a_hang"`
	TurnsLate  float64        `json:"turn_late_ms_of_one_in_a_hundred"`
	LatestTurn float64        `json:"turn_late_ms_most"`
	Folder     string         `json:"folder"`
}

// Verdicts.
const (
	Kept     = "kept"
	Broken   = "broken"
	Unjudged = "could not be judged"
)

// Figures of the scenario's installation.
const (
	hangFor      = 8 * time.Second
	hangEvery    = 18 * time.Second
	replaceEvery = 13 * time.Second // a worker drains, ...
	drainFor     = 6 * time.Second  // ... and is back after this as a new process, ...
	warmBy       = 17 * time.Second // ... which is cold for so long
	frozenFor    = 10 * time.Second
	cutFor       = 8 * time.Second
	tooLate      = 100 * time.Millisecond // of one turn in a hundred: nothing measured means anything
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
func (t *Takeover) Settings(classes []standin.Class) map[string]any {
	var profiles []map[string]any
	var writes, stays []bool
	for _, c := range classes {
		profiles = append(profiles, map[string]any{"name": c.Name, "target": c.Target.Milliseconds(),
			"deadline": c.Deadline.Milliseconds(), "worth": c.Value})
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
	classes := []standin.Class{
		{Name: "lookup", Target: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, Value: 1, Rate: 3},
		{Name: "order", Target: 300 * time.Millisecond, Deadline: 1200 * time.Millisecond, Value: 3, Writes: true, Rate: 1}}
	addresses, err := process.FreeAddresses(2 * t.Instances)
	if err != nil {
		return nil, err
	}
	lines, backlog := t.channel()
	in, err := standin.NewInstallation(standin.Plan{Zones: []string{"a", "b", "c"}, Workers: t.Workers, Cores: 4,
		Service: 20 * time.Millisecond, Relays: t.Relays, Fenced: t.Fenced, Classes: classes, Reports: time.Second, Seed: t.Seed},
		rules.Limits{Bare: grace + slack, Grace: grace + slack, Messages: 30, Span: 10 * time.Second, LinesPerS: float64(lines),
			Backlog: float64(backlog), Margin: 500 * time.Millisecond}, addresses[:t.Instances])
	if err != nil {
		return nil, err
	}
	p := &play{Takeover: t, in: in, folder: folder, random: rand.New(rand.NewPCG(t.Seed, 1)), faults: map[string]int{}, busy: map[*standin.Worker]bool{},
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
	gone := func() bool { return slices.ContainsFunc(p.instances, (*process.Instance).Gone) }
	p.waits(ctx, readyIn, func() bool {
		return gone() || !slices.ContainsFunc(p.instances, func(i *process.Instance) bool { return !i.Answers() })
	})
	if gone() || slices.ContainsFunc(p.instances, func(i *process.Instance) bool { return !i.Answers() }) {
		in.Close()
		return nil, fmt.Errorf("the controllers have ended, or do not answer within %s; their logs in %s say why", readyIn, folder)
	}
	in.Play()
	if !p.waits(ctx, readyIn, func() bool {
		all, _ := in.Joined(0)
		return all == t.Relays && in.Holding(in.Workers[0].ID) == t.Relays
	}) {
		in.Close()
		return nil, fmt.Errorf("the relays have no tables within %s; the controllers' logs are in %s", readyIn, folder)
	}
	return p.play(ctx)
}

// play is one run of the scenario.
type play struct {
	*Takeover
	in        *standin.Installation
	instances []*process.Instance
	between   map[[2]int]*standin.Wire // between members
	folder    string
	events    *os.File
	random    *rand.Rand
	faults    map[string]int
	busy      map[*standin.Worker]bool // with which something is going on
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
func (p *play) set(listen, members []string, classes []standin.Class) error {
	p.between = map[[2]int]*standin.Wire{}
	for i := range p.Instances {
		name := fmt.Sprint("n", i)
		config, err := process.WriteJSON(p.folder, name+".json", map[string]any{"name": name, "listen": listen[i],
			"discovery": p.in.Discovery.Address(), "seed": fmt.Sprintf("%x", p.Seed+uint64(i)+1),
			"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
			"settings": p.Settings(classes)})
		if err != nil {
			return err
		}
		one := &process.Instance{Name: name, Program: p.Program, Listen: listen[i], Env: []string{"LB_CONFIG=" + config}}
		if p.Sharing {
			all := map[string]string{}
			for j := range p.Instances {
				if all[fmt.Sprint("n", j)] = members[j]; i != j && p.wired() {
					wire, err := standin.NewWire(members[j])
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

// wired tells whether any of the faults is one of the ways between controllers.
func (p *play) wired() bool {
	return slices.ContainsFunc(strings.Split(p.Faults, ","), func(kind string) bool {
		return slices.Contains([]string{"cut", "half", "split", "slow"}, kind)
	})
}

func (p *play) end() {
	p.events.Close()
	for _, i := range p.instances {
		if i.Up {
			i.Signal(syscall.SIGCONT)
			i.Signal(syscall.SIGKILL)
		}
		i.Log.Close()
	}
	for _, wire := range p.between {
		wire.Close()
	}
}

func (p *play) play(ctx context.Context) (*Report, error) {
	load, before, began := process.WatchLateness(), p.in.Counts(), time.Now()
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
			if i.Gone() {
				return nil, fmt.Errorf("%s has ended by itself; its log is %s", i.Name, i.Log.Name())
			}
		}
	}
	p.report.Seconds = time.Since(began).Seconds()
	if p.Watch != nil {
		p.Watch(p.instances, true)
	}
	verdict, after := p.in.Close()
	hundredth, most := load.End()
	p.sum(verdict, before, after, left)
	p.judge(verdict, hundredth, most)
	return p.report, nil
}

// fault plays the next of the faults that are drawn from, on a controller that is up.
func (p *play) fault() error {
	var up []int
	for i, one := range p.instances {
		if one.Up {
			up = append(up, i)
		}
	}
	if len(up) < 2 {
		return nil // one is left to serve
	}
	kinds := strings.Split(cmp.Or(p.Faults, "kill"), ",")
	kind, at := kinds[p.random.IntN(len(kinds))], up[p.random.IntN(len(up))]
	one := p.instances[at]
	p.faults[kind]++
	p.say("%s %s", kind, one.Name)
	touches := func(pair [2]int) bool { return pair[0] == at || pair[1] == at }
	switch kind {
	case "kill":
		p.stops(at, syscall.SIGKILL)
	case "leave":
		p.stops(at, syscall.SIGTERM)
	case "pair": // two within one election
		p.stops(at, syscall.SIGKILL)
		if other := up[(slices.Index(up, at)+1)%len(up)]; len(up) > 2 {
			p.stops(other, syscall.SIGKILL)
		}
	case "freeze":
		one.Up = false // for other faults
		one.Send(syscall.SIGSTOP)
		p.in.Frozen(at, true)
		p.later(min(frozenFor, p.KillEvery/2), func() error {
			one.Up = true
			p.in.Frozen(at, false)
			return one.Send(syscall.SIGCONT)
		})
	case "cut":
		p.cuts(standin.Cut, touches)
	case "half": // what it sends to the others is lost, and what they answer
		p.cuts(standin.Fault{Out: true}, func(pair [2]int) bool { return pair[0] == at })
	case "split": // no majority is left anywhere
		p.cuts(standin.Cut, func([2]int) bool { return true })
	case "slow":
		p.cuts(standin.Fault{Delay: 300 * time.Millisecond}, touches)
	case "reload": // while it may be electing
		one.Send(syscall.SIGHUP)
		p.stops(up[(slices.Index(up, at)+1)%len(up)], syscall.SIGKILL)
	default:
		return fmt.Errorf("fault %q; there are kill, leave, pair, freeze, cut, half, split, slow and reload", kind)
	}
	return nil
}

// stops ends a controller, which comes back as new after a while, one time in four within a second.
func (p *play) stops(at int, by syscall.Signal) {
	one := p.instances[at]
	one.Signal(by)
	wait := time.Duration(p.random.Int64N(int64(min(p.KillEvery/2, 8*time.Second))))
	if p.random.IntN(4) == 0 {
		wait = min(wait, time.Second)
	}
	p.later(wait, func() error {
		p.in.Restarted(at)
		return one.Start()
	})
}

// cuts puts a fault on some of the wires between controllers for a while.
func (p *play) cuts(f standin.Fault, some func(pair [2]int) bool) {
	for pair, wire := range p.between {
		if some(pair) {
			wire.Set(f)
			p.later(min(cutFor, p.KillEvery/2), func() error { wire.Set(standin.Fault{}); return nil })
		}
	}
}

// steady draws a worker with which nothing is going on; nil if there is none.
func (p *play) steady() *standin.Worker {
	var all []*standin.Worker
	for _, w := range p.in.Workers {
		if !p.busy[w] && w.Warm() {
			all = append(all, w)
		}
	}
	if len(all) < 2 {
		return nil // one is left to serve
	}
	return all[p.random.IntN(len(all))]
}

// replace has a worker drain, and come back as a new process, which is cold at first.
func (p *play) replace() {
	w := p.steady()
	if w == nil {
		return
	}
	p.busy[w] = true
	p.report.Replaced++
	p.say("%s drains", w.ID)
	p.in.Discovery.List("draining", w)
	p.later(drainFor, func() error {
		p.say("%s is back", w.ID)
		w.Restart(warmBy)
		p.in.Discovery.List("up", w)
		p.later(warmBy, func() error {
			p.in.Discovery.List("up", w) // as it was: the account has it as warm from now on
			delete(p.busy, w)
			return nil
		})
		return nil
	})
}

// hang has a worker take everything and answer nothing for a while, and notes when nine in ten relays had left it.
func (p *play) hang(left *[]time.Duration) {
	w, began := p.steady(), time.Now()
	if w == nil {
		return
	}
	p.busy[w] = true
	w.Set(standin.Hangs)
	p.report.Hangs++
	p.say("%s hangs", w.ID)
	noted := false
	var look func() error
	look = func() error {
		switch since := time.Since(began); {
		case !noted && p.in.Holding(w.ID) <= p.Relays/10:
			noted = true
			*left = append(*left, since)
			p.say("%s is left", w.ID)
		case since >= hangFor:
			if !noted {
				*left = append(*left, since)
			}
			w.Set(standin.Serves)
			delete(p.busy, w)
			return nil
		}
		p.later(50*time.Millisecond, look)
		return nil
	}
	p.later(0, look)
}

// ended tells whether any controller's process was stopped.
func (p *play) ended() bool {
	return p.faults["kill"]+p.faults["leave"]+p.faults["pair"]+p.faults["freeze"]+p.faults["reload"] > 0
}

// say tells who watches, and notes it beside the controllers' logs.
func (p *play) say(format string, args ...any) {
	fmt.Fprintf(p.events, "time=%s event=rehearsal text=%q\n", time.Now().UTC().Format("15:04:05.000000"), fmt.Sprintf(format, args...))
	if p.Progress != nil {
		p.Progress(fmt.Sprintf(format, args...))
	}
}

func (p *play) sum(v rules.Verdict, before, after standin.Counts, left []time.Duration) {
	r := p.report
	r.Faults, r.Effects, r.Messages = p.faults, v.Effects, v.Most
	r.Breaches, r.Broken, r.BareMost = v.Breaches, v.Counts, v.Longest.Seconds()
	r.Served = (after.ServedValue - before.ServedValue) / max(after.AskedValue-before.AskedValue, 1)
	r.Came, r.Lost, r.Refused = after.Came-before.Came, after.Lost-before.Lost, after.Refused-before.Refused
	r.Takeovers, r.Stale = after.Streams-before.Streams, after.Refusals-before.Refusals
	r.Lines, r.Orders = after.Lines-before.Lines, after.Orders-before.Orders
	r.JoinLines = float64(after.JoinLines-before.JoinLines) / float64(max(r.Takeovers, 1))
	r.IntoHang = after.IntoHang - before.IntoHang
	for _, l := range left {
		r.LeaveMean += l.Seconds() / float64(len(left))
		r.LeaveMost = max(r.LeaveMost, l.Seconds())
	}
}

// judge settles the verdict: a machine that was too busy shows nothing, for or against.
func (p *play) judge(v rules.Verdict, hundredth, most time.Duration) {
	r := p.report
	r.TurnsLate, r.LatestTurn = float64(hundredth.Microseconds())/1000, float64(most.Microseconds())/1000
	switch {
	case hundredth > tooLate:
		r.Verdict, r.Why = Unjudged, fmt.Sprintf("one turn in a hundred was over %s late; leave the machine more room", tooLate)
	case len(v.Breaches) > 0:
		r.Verdict = Broken
	case r.Effects == 0 || r.Takeovers == 0 && p.ended(): // what is only between controllers moves no relay
		r.Verdict, r.Why = Unjudged, "no relay was taken over, or nothing took effect; play it for longer"
	default:
		r.Verdict = Kept
	}
}
