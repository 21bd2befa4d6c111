package scale

import "time"

// Assumed sizes, limits and random seeds of the tree.
const (
	regions = 25
	// Number of distributors in the expected installation: one on each dedicated machine that has
	// no voter.
	targetDistributors = maxMachines - defaultVoters
	defaultVoters      = 5
	// Largest number of children of a voter or distributor. The children of a distributor belong to
	// several groups. With a limit of 16, some groups found no parent at 11,000 controllers.
	maxFanOut             = 64
	minFanOut             = 8
	directChildOneIn      = 10       // at any size, the distributors accept one controller in 10 as a child
	dedicatedSnapshotRate = 16 << 20 // snapshot bytes per second sent by a voter or distributor on a dedicated machine
	minDistributors       = 2
	knownDistributors     = 3         // number of distributors among the candidate parents of a subscriber
	knownPeers            = 2         // number of members of its own group among the candidate parents of a subscriber
	subscriberMemory      = 120 << 10 // approximate bytes of memory of a hollow subscriber without its entries
	treeMemory            = 256 << 20 // approximate bytes of memory of a deployment without its subscribers and entries
	entryMemory           = 192       // approximate bytes of memory of a stored entry
	heapGrowth            = 2         // the heap grows to this multiple of the memory that entries need
	copiesAtVoter         = 3         // copies of all entries at a voter: in raft's log, in the record, for distribution
	readyTimeout          = 5 * time.Minute
	checksAtOnce          = 20 // number of random subscribers that one check compares with the content
	timeBetweenChecks     = time.Second
	treeSeed              = 11
	faultSeed             = 13
)

// treePlan holds the size of a deployment: numbers of nodes, content, and children per distributor.
type treePlan struct {
	subscribers  int
	content      contentShape
	distributors int
	fanOut       int // largest number of children of each distributor
}

// scaledTree returns a smaller deployment with the same proportions as the expected installation:
// the numbers of distributors and of groups are in proportion to the number of subscribers. Unlike
// in the expected installation, a group has only one entry for each service.
func scaledTree(subscribers int) treePlan {
	distributors := max(minDistributors, (targetDistributors*subscribers+targetControllers-1)/targetControllers)
	fanOut := min(max(subscribers/directChildOneIn/distributors, minFanOut), maxFanOut)
	return treePlan{subscribers, scaledContent(subscribers), distributors, fanOut}
}

// fullTree returns a deployment with the whole content and all distributors of the expected
// installation, at any number of subscribers.
func fullTree(subscribers int) treePlan {
	return treePlan{subscribers, fullContent(), targetDistributors, maxFanOut}
}

// memory returns the estimated bytes of memory that the deployment takes, including garbage that is
// not collected yet.
func (p treePlan) memory(o Options) int64 {
	nodes := int64(p.subscribers)
	// Each voter has copiesAtVoter copies of all entries, and each distributor has one copy. Another
	// copy is the content with which checks compare the nodes.
	fullCopies := int64(o.Voters*copiesAtVoter + p.distributors + 1)
	entries := nodes*int64(p.content.entriesPerGroup) + fullCopies*int64(p.content.groups*p.content.entriesPerGroup)
	return treeMemory + nodes*subscriberMemory + heapGrowth*entries*entryMemory
}
