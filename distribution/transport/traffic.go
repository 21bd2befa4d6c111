package transport

// Traffic holds totals over all links since the start.
type Traffic struct {
	// In is the number of received bytes, including the length headers of the messages.
	In int64
	// Out is the number of sent bytes, including the length headers of the messages.
	Out int64
	// Overflows counts the links that were closed because their queue was full.
	Overflows int64
}

// Traffic returns the totals since the start. It does not wait for the event loop.
func (t *Transport) Traffic() Traffic {
	return Traffic{In: t.bytesIn.Load(), Out: t.bytesOut.Load(), Overflows: t.overflows.Load()}
}
