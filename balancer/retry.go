package balancer

// Retry: proxies may try a request once more after proof that the first attempt never ran, as nothing can take effect
// twice then. A class that a limit cuts is not retried: a further attempt would only add to the queue. Nor is a write to
// a shard whose writes are stopped (shard.go).
//
// Input is the limit of the class; the policy goes out with it (Host.SetAdmissionLimit).

// RetryPolicy is when proxies try a request again.
type RetryPolicy uint8

const (
	// NoRetry is never.
	NoRetry RetryPolicy = iota
	// RetryIfNotExecuted is once, after proof that the first attempt never ran.
	RetryIfNotExecuted
	// RetryOnFailure is once, after any failure.
	RetryOnFailure
	// RetryTwiceOnFailure is twice, after any failures.
	RetryTwiceOnFailure
)

// retryPolicyFor is the policy that goes with a limit; 0 is none.
func retryPolicyFor(limit float64) RetryPolicy {
	if limit > 0 {
		return NoRetry
	}
	return RetryIfNotExecuted
}
