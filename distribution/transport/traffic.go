package transport

// Traffic is what passed over all links since the start.
type Traffic struct {
	// In is the number of bytes received, with the lengths of the messages.
	In int64
	// Out is the number of bytes sent, with the lengths of the messages.
	Out int64
	// Overflows counts the links closed because their queue was full.
	Overflows int64
}

// Traffic gives the totals since the start. It does not wait for the event loop.
func (t *Transport) Traffic() Traffic {
	return Traffic{In: t.bytesIn.Load(), Out: t.bytesOut.Load(), Overflows: t.overflows.Load()}
}
