package balancer

// Retry: a proxy may retry a request once if it has proof that the first attempt never ran, because
// then nothing can take effect twice. Only the proxy has that proof: it knows that the backend
// refused the attempt before executing it. Proxies apply this policy by default, before they
// receive any policy from a controller. Requests of a class that is cut by a limit are not retried:
// a further attempt would only add to the queue. A controller sees no requests and checks no
// idempotency keys; invariant/duplicate_effect.go does so in recorded runs.
//
// The input is the limit of the class. The policy is sent along with the limit
// (Host.SetAdmissionLimit). Shards whose writes are stopped have a policy of their own, see
// fenceWrites in shard.go.

// RetryPolicy determines when proxies retry a request. The proxy decides whether there is proof
// that an attempt never ran.
type RetryPolicy uint8

const (
	// NoRetry forbids retries.
	NoRetry RetryPolicy = iota
	// RetryIfNotExecuted allows one retry, after proof that the first attempt never ran.
	RetryIfNotExecuted
	// RetryOnFailure allows one retry, after any failure. Controllers never order it, but the wire
	// formats contain it.
	RetryOnFailure
	// RetryTwiceOnFailure allows two retries, after any failures. Controllers never order it, but
	// the wire formats contain it.
	RetryTwiceOnFailure
)

// retryPolicyFor returns the policy that goes with a limit, where 0 means no limit.
func retryPolicyFor(limit float64) RetryPolicy {
	if limit > 0 {
		return NoRetry
	}
	return RetryIfNotExecuted
}
