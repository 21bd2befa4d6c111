package main

import (
	"fmt"
	"time"
)

// Four of 24 backends, 17%, answer 70% of their tries with an error for 25 s.
const (
	zoneErrorShare = 0.7
	zoneErrorTime  = 25 * time.Second
)

// caseZone: all backends of one zone fail most of their tries, at a deployment one of whose classes
// keeps to the proxy's zone.
func caseZone(r *run) verdict {
	figures := santiago
	figures.backends, figures.zoneSizes = 24, []int{4, 6, 7, 7}
	figures.local = []bool{true, false}
	members := r.startAlone(figures, "n0", "n1")
	f := r.newFleet(figures, members, func(proxy int) int { return proxy / len(figures.zones) % 2 })
	watch := f.watchLines()
	f.start()
	r.require(await(10*time.Second, f.allJoined), "some proxy gets no table")
	time.Sleep(8 * time.Second)
	ids := []string{"s-00", "s-01", "s-02", "s-03"}
	if r.trouble {
		f.fail(zoneErrorShare, ids...)
	}
	time.Sleep(zoneErrorTime)
	if r.trouble {
		f.fail(0, ids...)
	}
	time.Sleep(15 * time.Second)
	return watch()
}

// watchLines judges the rule on proxies without a line from now on; the result returns the verdict.
func (f *fleet) watchLines() func() verdict {
	type gap struct {
		since time.Time
		told  bool
	}
	gaps := map[string]*gap{}
	var broken []string
	longest := time.Duration(0)
	stop := make(chan struct{})
	stopped := make(chan struct{})
	look := func() {
		for _, p := range f.proxies {
			p.mutex.Lock()
			for i, class := range f.figures.classes {
				key := fmt.Sprintf("proxy %d, class %s", p.number, class)
				ids, _ := p.mayPick(class)
				local := f.figures.local != nil && f.figures.local[i]
				if p.member == nil || len(ids) > 0 || !p.member.discovery.listsWarm(p.zone, local) {
					if gaps[key] != nil {
						f.run.log("%s: has a line again, or need not, after %.3f s", key, time.Since(gaps[key].since).Seconds())
					}
					delete(gaps, key)
					continue
				}
				if gaps[key] == nil {
					gaps[key] = &gap{since: time.Now()}
					f.run.log("%s: has no line to pick, while the list of %s has a warm, ready backend that is open to it", key, p.member.name)
				}
				length := time.Since(gaps[key].since)
				longest = max(longest, length)
				if length > blackhole+socketSlack && !gaps[key].told {
					gaps[key].told = true
					broken = append(broken, key)
					f.run.log("%s: the limit of %s and %s of slack is over", key, blackhole, socketSlack)
				}
			}
			p.mutex.Unlock()
		}
	}
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
				look()
			}
		}
	}()
	return func() verdict {
		close(stop)
		<-stopped
		if len(broken) == 0 {
			return verdict{false, fmt.Sprintf("the longest time of a joined proxy without a line was %.3f s", longest.Seconds())}
		}
		return verdict{true, fmt.Sprintf("%d times a joined proxy had no line for a class for longer than %s and %s of slack, the longest time "+
			"was %.3f s; the first was %s", len(broken), blackhole, socketSlack, longest.Seconds(), broken[0])}
	}
}
