package scale

import "time"

// Figures of the tree, by assumption.
const (
	regions               = 25
	targetDistributors    = maxMachines - defaultVoters // of the machines set aside, those that do not vote
	defaultVoters         = 5
	maxFanOut             = 64 // of a distributor, whose children are of some groups each; with 16, groups find no place at 11,000
	minFanOut             = 8
	directChildOneIn      = 10       // one controller in so many is right below a distributor, whatever the size
	dedicatedSnapshotRate = 16 << 20 // bytes a second of the snapshots from a voter or distributor, on machines set aside
	minDistributors       = 2
	knownDistributors     = 3 // that a subscriber is configured with as possible parents
	knownPeers            = 2 // of its group
	subscriberMemory      = 120 << 10
	treeMemory            = 256 << 20
	entryMemory           = 192 // bytes, about, of one that is kept
	heapGrowth            = 2   // times what is in use the heap grows to
	copiesAtVoter         = 3   // of all entries: as raft has them in its log, on the record and for subscribers
	readyTimeout          = 5 * time.Minute
	checksAtOnce          = 20 // subscribers compared with the content at a point drawn
	timeBetweenChecks     = time.Second
	treeSeed              = 11
	faultSeed             = 13
)

// treePlan is the size of a deployment.
type treePlan struct {
	subscribers  int
	content      contentShape
	distributors int
	fanOut       int // places at each distributor
}

// scaledTree is a deployment with as much of everything for a subscriber as there will be, but one entry for each service.
func scaledTree(subscribers int) treePlan {
	distributors := max(minDistributors, (targetDistributors*subscribers+targetControllers-1)/targetControllers)
	fanOut := min(max(subscribers/directChildOneIn/distributors, minFanOut), maxFanOut)
	return treePlan{subscribers, scaledContent(subscribers), distributors, fanOut}
}

// fullTree has all content and all distributors, whatever the number of subscribers.
func fullTree(subscribers int) treePlan {
	return treePlan{subscribers, fullContent(), targetDistributors, maxFanOut}
}

// memory is what the deployment takes before garbage is collected.
func (p treePlan) memory(o Options) int64 {
	nodes := int64(p.subscribers)
	fullCopies := int64(o.Voters*copiesAtVoter + p.distributors + 1) // the one that they are compared with
	entries := nodes*int64(p.content.entriesPerGroup) + fullCopies*int64(p.content.groups*p.content.entriesPerGroup)
	return treeMemory + nodes*subscriberMemory + heapGrowth*entries*entryMemory
}
