package fake

// Counts holds the numbers of requests, attempts and pushes at proxies.
type Counts struct {
	Requests int // received by the proxies
	Served   int // answered within the latency objective
	Late     int // answered after the latency objective
	Lost     int // admitted by a proxy, but ended without a successful answer
	Rejected int // not admitted by a proxy

	OfferedValue float64 // sum of the priority weights of all requests
	ServedValue  float64 // sum of the priority weights of the served requests

	Attempts         int // attempts sent to backends
	AttemptsIntoHang int // attempts sent to a backend that hung at that time

	Streams             int // streams on which a controller sent at least one message
	Pushes              int // pushes applied by the proxies
	Lines               int // lines of the applied pushes
	LinesAtConnect      int // lines of pushes applied within connectWindow of the start of a stream
	StalePushesRejected int // pushes rejected because they had the fencing token of an older owner
}

func (c *Counts) add(other Counts) {
	c.Requests += other.Requests
	c.Served += other.Served
	c.Late += other.Late
	c.Lost += other.Lost
	c.Rejected += other.Rejected
	c.OfferedValue += other.OfferedValue
	c.ServedValue += other.ServedValue
	c.Attempts += other.Attempts
	c.AttemptsIntoHang += other.AttemptsIntoHang
	c.Streams += other.Streams
	c.Pushes += other.Pushes
	c.Lines += other.Lines
	c.LinesAtConnect += other.LinesAtConnect
	c.StalePushesRejected += other.StalePushesRejected
}
