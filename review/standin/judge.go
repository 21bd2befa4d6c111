package main

import "fmt"

// judgeDrains returns the verdict on the rule on drains.
func (f *fleet) judgeDrains() verdict {
	late := f.lateSends()
	if len(late) == 0 {
		return verdict{false, "no proxy sent to a leaving backend after the grace"}
	}
	worst := late[0]
	backends := map[string]bool{}
	for _, send := range late {
		backends[send.backend] = true
		if send.after > worst.after {
			worst = send
		}
	}
	return verdict{true, fmt.Sprintf("%d requests reached %d leaving backends after the grace of %s and %s of slack; "+
		"the latest: proxy %d of %s to %s, %.3f s after the controller was told, the proxy joined or the drain was due",
		len(late), len(backends), f.figures.grace, socketSlack, worst.proxy, worst.member, worst.backend, worst.after.Seconds())}
}
