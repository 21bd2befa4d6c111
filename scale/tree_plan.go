package scale

import "time"

// Assumed sizes and limits of the tree.
const (
	regions = 25
	// Number of distributors of the expected installation: one on each dedicated machine without a
	// voter.
	targetDistributors = maxMachines - defaultVoters
	defaultVoters      = 5
	// Largest number of children of a voter or distributor. The children of a distributor belong to
	// several groups; with a limit of 16, some groups find no parent at 11,000 controllers.
	maxFanOut             = 64
	minFanOut             = 8
	directChildOneIn      = 10       // one controller in 10 is a child of a distributor, at any size
	dedicatedSnapshotRate = 16 << 20 // snapshot bytes per second of a voter or distributor on a dedicated machine
	minDistributors       = 2
	knownDistributors     = 3         // number of distributors among the candidate parents of a subscriber
	knownPeers            = 2         // number of peers of its group among the candidate parents of a subscriber
	subscriberMemory      = 120 << 10 // approximate bytes of a hollow subscriber without its entries
	treeMemory            = 256 << 20 // approximate bytes of a deployment without its subscribers and entries
	entryMemory           = 192       // approximate bytes of a stored entry
	heapGrowth            = 2         // the heap grows to this multiple of the memory in use
	copiesAtVoter         = 3         // copies of all entries at a voter: in raft's log, on the record and for subscribers
	readyTimeout          = 5 * time.Minute
	checksAtOnce          = 20 // random subscribers that are compared with the content in one check
	timeBetweenChecks     = time.Second
	treeSeed              = 11
	faultSeed             = 13
)

// treePlan is the size of a deployment.
type treePlan struct {
	subscribers  int
	content      contentShape
	distributors int
	fanOut       int // largest number of children of each distributor
}

// scaledTree returns a deployment whose distributors and content are in the same proportion to its
// subscribers as in the expected installation, except that there is one entry for each service.
func scaledTree(subscribers int) treePlan {
	distributors := max(minDistributors, (targetDistributors*subscribers+targetControllers-1)/targetControllers)
	fanOut := min(max(subscribers/directChildOneIn/distributors, minFanOut), maxFanOut)
	return treePlan{subscribers, scaledContent(subscribers), distributors, fanOut}
}

// fullTree returns a deployment with the whole content and all distributors, at any number of
// subscribers.
func fullTree(subscribers int) treePlan {
	return treePlan{subscribers, fullContent(), targetDistributors, maxFanOut}
}

// memory returns the estimated bytes of the deployment before garbage is collected.
func (p treePlan) memory(o Options) int64 {
	nodes := int64(p.subscribers)
	fullCopies := int64(o.Voters*copiesAtVoter + p.distributors + 1) // 1: the content that nodes are compared with
	entries := nodes*int64(p.content.entriesPerGroup) + fullCopies*int64(p.content.groups*p.content.entriesPerGroup)
	return treeMemory + nodes*subscriberMemory + heapGrowth*entries*entryMemory
}
