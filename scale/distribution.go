package scale

import (
	"context"
	"fmt"
	"os"
	"time"

	"wheelrill/scale/results"
)

// distributionCost measures the cost and the latency of distributing the changes of the record from
// the voters, through distributors, to subscribers.
type distributionCost struct {
	allEntries bool // distribute all entries of the expected installation, instead of one entry for each service
}

// treeRole is a role in the tree that has its own metrics. The names of these metrics begin with
// the name of the role, and their descriptions contain the description of the role.
type treeRole struct{ name, about string }

func treeRoles() []treeRole {
	return []treeRole{{"subscriber", "a subscriber without children"}, {"parent", "a subscriber that passes on"},
		{"distributor", "a distributor"}, {"voter", "a voter, without the record"}}
}

// recordBytes is the name of the metric for the bytes per second that a voter sends and receives
// for the record. The metric excludes the bytes of the distribution to other nodes.
const recordBytes = "voter_record_bytes_per_s"

// Describe returns the name, the sizes and the metrics of the measurement.
func (m distributionCost) Describe() Description {
	d := Description{Name: "distribution", About: "Distribution below the record, hollow subscribers in one process",
		SizeUnit: "subscribers", Sizes: []int{110, 350, 1100, 3500}, Targets: []int{targetControllers}, Transport: "memory"}
	if m.allEntries {
		d.Name = "distribution-whole"
		d.Sizes = []int{1100}
		d.Targets = nil
		d.About = fmt.Sprintf("Distribution below the record with all %d entries, %d to a subscriber, hollow subscribers in one process",
			entriesOfAll, entriesServed)
	}
	for _, rate := range changeRates() {
		d.Metrics = append(d.Metrics,
			results.Metric{Name: "half" + rate.suffix, Unit: "s",
				About: "until in force, 50 in 100, " + rate.about, Budget: maxPropagationSeconds, Fit: true},
			results.Metric{Name: "p99" + rate.suffix, Unit: "s",
				About: "until in force, 99 in 100, " + rate.about, Budget: maxPropagationSeconds, Fit: true},
			results.Metric{Name: "most" + rate.suffix, Unit: "s",
				About: "until in force, 100 in 100, " + rate.about, Budget: maxPropagationSeconds, Fit: true},
			results.Metric{Name: "parents_lost" + rate.suffix, Unit: "times", About: "nodes that lost or left their parent, " + rate.about})
		for _, role := range treeRoles() {
			d.Metrics = append(d.Metrics,
				results.Metric{Name: role.name + "_bytes_per_s" + rate.suffix, Unit: "bytes/s",
					About: "in and out at " + role.about + ", mean, " + rate.about, Budget: maxBytesPerSecond, Fit: true},
				results.Metric{Name: role.name + "_bytes_per_s_worst" + rate.suffix, Unit: "bytes/s",
					About: "in and out at " + role.about + ", worst, " + rate.about, Budget: maxBytesPerSecond, Fit: true},
				results.Metric{Name: role.name + "_processor" + rate.suffix, Unit: "% of a core",
					About:  "processor time of " + role.about + " by its share of bytes, mean, " + rate.about,
					Budget: maxProcessorPercent},
				results.Metric{Name: role.name + "_processor_worst" + rate.suffix, Unit: "% of a core",
					About:  "processor time of " + role.about + " by its share of bytes, worst, " + rate.about,
					Budget: maxProcessorPercent})
		}
	}
	for _, rate := range changeRates() {
		d.Metrics = append(d.Metrics,
			results.Metric{Name: recordBytes + rate.suffix, Unit: "bytes/s",
				About: "in and out for the record at a voter that follows, mean, " + rate.about, Budget: maxBytesPerSecond},
			results.Metric{Name: recordBytes + "_leader" + rate.suffix, Unit: "bytes/s",
				About: "in and out for the record at the leader, " + rate.about, Budget: maxBytesPerSecond})
	}
	d.Metrics = append(d.Metrics,
		results.Metric{Name: "memory", Unit: "MB", About: "resident memory of the process over its nodes", Budget: maxMegabytes},
		results.Metric{Name: "depth", Unit: "nodes", About: "from a voter to the deepest subscriber"},
		results.Metric{Name: "machines", Unit: "machines", About: "voters and distributors", Budget: maxMachines},
		results.Metric{Name: "distributors_ready", Unit: "s", About: "until all distributors have all scopes, all starting at once", Fit: true},
		results.Metric{Name: "ready", Unit: "s", About: "until all subscribers have their configuration then, all starting at once", Fit: true})
	return d
}

// plan returns the deployment for the given number of subscribers.
func (m distributionCost) plan(size int) treePlan {
	if m.allEntries {
		return fullTree(size)
	}
	return scaledTree(size)
}

// Needs returns the time that the measurement of one size takes, and the memory of all nodes, which
// run in this process.
func (m distributionCost) Needs(size int, o Options) Needs {
	return Needs{Memory: m.plan(size).memory(o),
		Time: startTimeout + readyTimeout + time.Duration(len(changeRates()))*(o.Duration+settleTimeout)}
}

// Run makes changes to the configuration at each rate of changeRates (0.42 and 4.2 changes a
// second), one rate after the other. At each rate it measures the traffic of each node and the time
// that subscribers take to apply the changes.
func (m distributionCost) Run(ctx context.Context, size int, o Options) (s results.Sample, err error) {
	t, err := newTree(ctx, m.plan(size), o)
	if err != nil {
		return s, err
	}
	defer t.close()
	delays := watchDelays()
	for _, rate := range changeRates() {
		o.progressf("%d subscribers, ready after %.1f s, %s", size, t.ready.Seconds(), rate.about)
		if err := t.measureRate(ctx, rate, &s); err != nil {
			return s, err
		}
	}
	usage, err := readUsage(os.Getpid())
	if err != nil {
		return s, err
	}
	s.Set("memory", float64(usage.resident)/megabyte/float64(len(t.nodes())+len(t.voters.voters)))
	s.Set("depth", float64(t.depth()))
	s.Set("machines", float64(len(t.voters.voters)+len(t.distributors)))
	s.Set("distributors_ready", t.distributorsReady.Seconds())
	s.Set("ready", t.ready.Seconds())
	if needlessSnapshots := t.needlessSnapshots(); needlessSnapshots > 0 {
		t.propagation.addViolation("%d snapshots were installed where deltas would have been enough", needlessSnapshots)
	}
	s.Violations = t.propagation.violations
	s.Inconclusive = delays.inconclusiveReason()
	return s, nil
}

// measureRate makes changes at one rate for Options.Duration, and sets the metrics of that rate.
func (t *tree) measureRate(ctx context.Context, rate changeRate, s *results.Sample) error {
	t.propagation.reset()
	parentsLost := t.parentsLost()
	before := t.bytes()
	recordBefore := t.recordBytes()
	processorBefore := processorTime()
	began := time.Now()
	made, err := t.makeChanges(ctx, rate.perS, began.Add(t.options.Duration))
	if err != nil {
		return err
	}
	after := t.bytes()
	processor := processorTime() - processorBefore
	seconds := time.Since(began).Seconds()
	t.setRecordBytes(recordBefore, t.recordBytes(), rate, seconds, s)
	if err := t.settle(ctx); err != nil {
		return err
	}
	s.Set("half"+rate.suffix, t.propagation.seconds(t.propagation.latency, 50))
	s.Set("p99"+rate.suffix, t.propagation.seconds(t.propagation.latency, 99))
	s.Set("most"+rate.suffix, t.propagation.seconds(t.propagation.latency, 100))
	s.Set("parents_lost"+rate.suffix, float64(t.parentsLost()-parentsLost))
	if made == 0 {
		return fmt.Errorf("no change was made within %s; give a longer --for", t.options.Duration)
	}
	bytesByNode := map[string]float64{}
	for name := range after {
		bytesByNode[name] = float64(after[name] - before[name])
	}
	t.setRoleMetrics(bytesByNode, processor.Seconds(), rate, seconds, s)
	return nil
}

// setRoleMetrics sets the metrics of each role from the bytes that each node sent and received. All
// nodes run in this process, so its processor time is divided among them in proportion to their
// bytes.
func (t *tree) setRoleMetrics(bytesByNode map[string]float64, processor float64, rate changeRate, seconds float64,
	s *results.Sample) {
	total := 0.
	for _, bytes := range bytesByNode {
		total += bytes
	}
	nodes := t.nodesByRole()
	for _, role := range treeRoles() {
		names := nodes[role.name]
		if len(names) == 0 {
			continue
		}
		sum := 0.
		worst := 0.
		for _, name := range names {
			sum += bytesByNode[name]
			worst = max(worst, bytesByNode[name])
		}
		mean := sum / float64(len(names))
		s.Set(role.name+"_bytes_per_s"+rate.suffix, mean/seconds)
		s.Set(role.name+"_bytes_per_s_worst"+rate.suffix, worst/seconds)
		s.Set(role.name+"_processor"+rate.suffix, percent*processor/seconds*mean/total)
		s.Set(role.name+"_processor_worst"+rate.suffix, percent*processor/seconds*worst/total)
	}
}

// bytes returns the bytes that each node has sent and received so far, by the name of the node. It
// excludes the traffic between voters for the record.
func (t *tree) bytes() map[string]int64 {
	result := map[string]int64{}
	for _, s := range t.nodes() {
		result[s.name] = s.bytes()
	}
	for _, v := range t.voters.voters {
		result[v.name] = v.bytes()
	}
	return result
}

// recordBytes returns the bytes that each voter has sent and received for the record so far, by the
// name of the voter.
func (t *tree) recordBytes() map[string]int64 {
	result := map[string]int64{}
	for _, v := range t.voters.voters {
		result[v.name] = v.recordBytes()
	}
	return result
}

// setRecordBytes sets the metrics of the traffic for the record: the mean over the followers, and
// the figure of the leader. The voter with the most bytes is assumed to be the leader.
func (t *tree) setRecordBytes(before, after map[string]int64, rate changeRate, seconds float64, s *results.Sample) {
	sum := 0.
	leader := 0.
	for name := range after {
		bytesPerS := float64(after[name]-before[name]) / seconds
		sum += bytesPerS
		leader = max(leader, bytesPerS)
	}
	s.Set(recordBytes+rate.suffix, (sum-leader)/float64(max(len(after)-1, 1)))
	s.Set(recordBytes+"_leader"+rate.suffix, leader)
}

// nodesByRole returns the names of all nodes, by the name of their role in treeRoles.
func (t *tree) nodesByRole() map[string][]string {
	result := map[string][]string{}
	for _, s := range t.nodes() {
		role := "subscriber"
		if status, ok := s.status(); s.role == roleDistributor {
			role = "distributor"
		} else if ok && len(status.Children) > 0 {
			role = "parent"
		}
		result[role] = append(result[role], s.name)
	}
	for _, v := range t.voters.voters {
		result["voter"] = append(result["voter"], v.name)
	}
	return result
}

// depth returns the largest number of nodes on the path from a voter to a subscriber.
func (t *tree) depth() (deepest int) {
	for _, s := range t.nodes() {
		if status, ok := s.status(); ok {
			deepest = max(deepest, len(status.Path)+1)
		}
	}
	return deepest
}
