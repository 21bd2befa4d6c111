package fake

// Counts holds the numbers of requests, attempts and pushes at proxies.
type Counts struct {
	Requests int // number of requests received by the proxies
	Served   int // number of requests answered within the latency objective
	Late     int // number of requests answered after the latency objective
	Lost     int // number of requests admitted by a proxy that ended without a successful answer
	Rejected int // number of requests that the admission limit of a proxy rejected

	OfferedValue float64 // sum of the priority weights of all requests
	ServedValue  float64 // sum of the priority weights of the served requests

	Attempts         int // number of attempts sent to backends
	AttemptsIntoHang int // number of attempts sent to a backend that hung at that time

	Streams             int // number of streams on which a controller has sent at least one message
	Pushes              int // number of pushes applied by the proxies
	Lines               int // number of lines of the applied pushes
	LinesAtConnect      int // number of lines of pushes applied within connectWindow after the start of a stream
	StalePushesRejected int // number of pushes rejected because they had the fencing token of an older owner
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
