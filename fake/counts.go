package fake

// Counts sums what proxies met.
type Counts struct {
	Requests int // that came
	Served   int // within the latency objective
	Late     int // answered after it
	Lost     int // not answered
	Rejected int // not admitted

	OfferedValue float64 // sum of the priority weights of what came
	ServedValue  float64 // and of what was served

	Attempts         int // sent to backends
	AttemptsIntoHang int // sent to one that hung

	Streams             int // that were begun
	Pushes              int // applied
	Lines               int // in them
	LinesAtConnect      int // of them within a second of a stream's beginning
	StalePushesRejected int // of an older owner
}

func (c *Counts) add(o Counts) {
	c.Requests += o.Requests
	c.Served += o.Served
	c.Late += o.Late
	c.Lost += o.Lost
	c.Rejected += o.Rejected
	c.OfferedValue += o.OfferedValue
	c.ServedValue += o.ServedValue
	c.Attempts += o.Attempts
	c.AttemptsIntoHang += o.AttemptsIntoHang
	c.Streams += o.Streams
	c.Pushes += o.Pushes
	c.Lines += o.Lines
	c.LinesAtConnect += o.LinesAtConnect
	c.StalePushesRejected += o.StalePushesRejected
}
