package balancer

// Retry: a proxy may try a request once more if it has proof that the first attempt never ran, as nothing can take effect
// twice then. It is the proxy that has the proof: the backend refused the attempt before it was executed. Proxies do so by
// default, before any order of ours. A class that a limit cuts is not retried: a further attempt would only add to the
// queue. A controller sees no request and checks no key; in recorded runs invariant/duplicate_effect.go does.
//
// Input is the limit of the class; the policy goes out with it (Host.SetAdmissionLimit). Shards whose writes are stopped
// have a policy of their own, see fenceWrites in shard.go.

// RetryPolicy is when proxies try a request again. Whether there is proof that an attempt never ran, the proxy decides.
type RetryPolicy uint8

const (
	// NoRetry is never.
	NoRetry RetryPolicy = iota
	// RetryIfNotExecuted is once, after proof that the first attempt never ran.
	RetryIfNotExecuted
	// RetryOnFailure is once, after any failure. It is never ordered; the wires have it.
	RetryOnFailure
	// RetryTwiceOnFailure is twice, after any failures. It is never ordered; the wires have it.
	RetryTwiceOnFailure
)

// retryPolicyFor is the policy that goes with a limit; 0 is none.
func retryPolicyFor(limit float64) RetryPolicy {
	if limit > 0 {
		return NoRetry
	}
	return RetryIfNotExecuted
}
