package placement

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// ReportInterval is how often an agent reports its endpoint's load to the
	// balancers of a small deployment: at least once within a caller's latency
	// target, which is 100 ms or more.
	ReportInterval = 100 * time.Millisecond
	// aliveIntervals is how long an endpoint counts as reachable after a report, in
	// report intervals. At 3% packet loss, three reports in a row are lost once in
	// 40,000.
	aliveIntervals = 3.5
	// stoppedAfter is how long after its last report an agent that announced its
	// stop counts as stopped: longer than a planned restart takes.
	stoppedAfter = 10 * time.Second
	// firstReportTimeout is how long a new endpoint may take to send its first report
	// before it is suspected.
	firstReportTimeout = time.Second
	// remoteCost is the cost of an endpoint in another failure domain, in shares of
	// all slots: traffic between failure domains is billed and takes a millisecond.
	remoteCost = 0.15
	// coldCostFactor multiplies the load of a cold endpoint: recently started
	// endpoints work at about half their speed.
	coldCostFactor = 2.0
	// flowCost is the average share of a slot that an open flow takes: a feed sends
	// one request a second, which runs for some 10 ms.
	flowCost = 0.01
	// failingCost is the cost of an endpoint whose requests all fail, in shares of
	// all slots: more than a queue whose requests still meet their deadlines.
	failingCost = 4.0
	// failingThreshold is the share of failed requests, in thousandths, from which
	// an endpoint does not count as free: two of the last twenty.
	failingThreshold = 100
	// jitter is the most random cost added to each candidate, in shares of all
	// slots, so that balancers with equal reports do not all choose the same one.
	jitter = 0.1
)

// AgentLoad stores the load of one endpoint as its agent reported it to a balancer. It
// is safe for concurrent use: reports arrive on one goroutine and new flows are
// placed on another.
type AgentLoad struct {
	// reportedAt is when the last report was received, in nanoseconds, or 0 if there
	// was none.
	reportedAt atomic.Int64
	// interval is the time until the next report, in nanoseconds.
	interval atomic.Int64
	running  atomic.Int64
	// meanRunning is the mean number of running requests between the last two
	// reports, in thousandths.
	meanRunning atomic.Int64
	flows       atomic.Int64
	// failing is the share of recent requests that failed, in thousandths.
	failing atomic.Int64
	// processingTime is the mean time that the endpoint works on a request, in
	// nanoseconds, or 0 if it is not known. slowness is that time divided by the
	// median of its service, in thousandths; 1000 if that ratio is below slowRatio
	// and 0 if it has not been compared yet.
	processingTime atomic.Int64
	slowness       atomic.Int64
	silent         atomic.Bool
	leaving        atomic.Bool
	flowsKnown     atomic.Bool
	readsClass     atomic.Bool
	bulkQueries    atomic.Bool
	// readsServiceName is true if the agent reads the name of the service in opening packets.
	readsServiceName atomic.Bool
	// placed is the number of flows placed here since the last report.
	placed atomic.Int64
	pace   pace
}

// Usage is one report of an endpoint's load.
type Usage struct {
	Flows   int
	Running int
	// Mean is the mean number of running requests since the previous report.
	Mean float64
	// Failing is the share of recent requests that failed, 0 to 1.
	Failing float64
	// ProcessingTime is the mean time that the endpoint works on a request, or 0 if
	// it has not answered recently.
	ProcessingTime time.Duration
	// Interval is the time until the next report.
	Interval time.Duration
	// Silent is true if the endpoint does not answer its agent.
	Silent bool
	// Leaving is true if the agent is about to stop.
	Leaving bool
	// FlowsKnown is true if the agent knows every flow that its endpoint holds.
	FlowsKnown bool
	// BulkQueries is true if the agent answers bulk queries.
	BulkQueries bool
	// ReadsServiceName is true if the agent reads the name of the service in opening packets.
	ReadsServiceName bool
}

// Report stores an agent's report, received at now. Intervals below ReportInterval
// count as ReportInterval.
func (l *AgentLoad) Report(now time.Duration, u Usage) {
	l.running.Store(int64(u.Running))
	l.meanRunning.Store(int64(u.Mean * 1000))
	l.flows.Store(int64(u.Flows))
	l.failing.Store(int64(u.Failing * 1000))
	l.processingTime.Store(int64(u.ProcessingTime))
	l.silent.Store(u.Silent)
	l.leaving.Store(u.Leaving)
	l.flowsKnown.Store(u.FlowsKnown)
	l.bulkQueries.Store(u.BulkQueries)
	l.readsServiceName.Store(u.ReadsServiceName)
	l.placed.Store(0)
	l.interval.Store(int64(max(u.Interval, ReportInterval)))
	l.reportedAt.Store(int64(max(now, 1)))
}

// ReportedAt returns when the last report was received, or 0 if there was none.
func (l *AgentLoad) ReportedAt() time.Duration { return time.Duration(l.reportedAt.Load()) }

// Running returns the estimated number of requests in progress: those of the last
// report, and one for each flow placed since.
func (l *AgentLoad) Running() int64 { return l.running.Load() + l.placed.Load() }

// Flows returns the number of open flows of the last report.
func (l *AgentLoad) Flows() int64 { return l.flows.Load() }

// Slowness returns the endpoint's processing time divided by the median of its
// service, or 1 if that ratio is below slowRatio or unknown.
func (l *AgentLoad) Slowness() float64 { return max(1, float64(l.slowness.Load())/1000) }

// Alive reports whether the agent's last report is at most aliveIntervals old.
func (l *AgentLoad) Alive(now time.Duration) bool {
	reportedAt := l.ReportedAt()
	return reportedAt > 0 && now-reportedAt <= time.Duration(aliveIntervals*float64(l.interval.Load()))
}

// Stopped reports whether the agent has announced its stop and has not reported for
// stoppedAfter since.
func (l *AgentLoad) Stopped(now time.Duration) bool {
	return l.leaving.Load() && now-l.ReportedAt() > stoppedAfter
}

// Silent reports whether the endpoint does not answer its agent, by the agent's last report.
func (l *AgentLoad) Silent() bool { return l.silent.Load() }

// FlowsKnown reports whether the agent knows every flow that its endpoint holds, by its
// last report.
func (l *AgentLoad) FlowsKnown() bool { return l.flowsKnown.Load() }

// SetReadsClass records whether the agent reads the classes of opening packets, by its last
// report.
func (l *AgentLoad) SetReadsClass(reads bool) { l.readsClass.Store(reads) }

// ReadsClass reports whether the agent reads the classes of opening packets.
func (l *AgentLoad) ReadsClass() bool { return l.readsClass.Load() }

// BulkQueries reports whether the agent answers bulk queries, by its last report.
func (l *AgentLoad) BulkQueries() bool { return l.bulkQueries.Load() }

// ReadsServiceName reports whether the agent reads the name of the service in opening packets, by
// its last report.
func (l *AgentLoad) ReadsServiceName() bool { return l.readsServiceName.Load() }

// Candidate is an endpoint that may get a new flow.
type Candidate struct {
	AgentLoad *AgentLoad
	Slots     int
	// Remote is true if the endpoint is in another failure domain.
	Remote bool
	// ColdUntil is when a recently started endpoint reaches its full speed.
	ColdUntil time.Duration
	// AddedAt is when this process added the endpoint.
	AddedAt time.Duration
	// ColdInterval is the interval at which this process places flows at the endpoint while it
	// is cold, or 0 if that is not limited.
	ColdInterval time.Duration
}

// status ranks candidates: a candidate with a lower status is preferred, whatever
// the loads.
type status int

const (
	usable status = iota
	unreported
	// paced candidates are cold, and got as many flows from this process as their interval allows.
	paced
	suspected
)

func (c *Candidate) status(now time.Duration) status {
	l := c.AgentLoad
	switch {
	case l.leaving.Load():
		return suspected
	case l.Alive(now):
		if l.silent.Load() {
			return suspected
		}
		if c.isPaced(now) {
			return paced
		}
		return usable
	case l.ReportedAt() == 0 && now-c.AddedAt < firstReportTimeout:
		if c.isPaced(now) {
			return paced
		}
		return unreported
	default:
		return suspected
	}
}

// HasFreeSlot reports whether the endpoint is usable, neither slow nor failing, and has
// a free slot.
func (c *Candidate) HasFreeSlot(now time.Duration) bool {
	return c.isHealthy(now) && c.AgentLoad.Running() < int64(c.Slots)
}

// cost returns the endpoint's load and its other disadvantages, in shares of all
// its slots, with jitter added. Lower is better.
func (c *Candidate) cost(now time.Duration, random *rand.Rand) float64 {
	l := c.AgentLoad
	load := (float64(l.running.Load()) + float64(l.meanRunning.Load())/1000) / 2
	load += float64(l.placed.Load()) + flowCost*float64(l.flows.Load())
	cost := load / float64(max(c.Slots, 1))
	if now < c.ColdUntil {
		cost = cost*coldCostFactor + 1/float64(max(c.Slots, 1))
	}
	// A slow endpoint takes Slowness times as long to answer even without load.
	cost = (cost+1)*l.Slowness() - 1
	if c.Remote {
		cost += remoteCost
	}
	cost += failingCost * float64(l.failing.Load()) / 1000
	return cost + jitter*random.Float64()
}

// Choose returns the indexes of the best candidate for a new flow and of the
// next best, or -1 if there is none. Candidates for which exclude returns true are
// left out; exclude may be nil. Suspected candidates come last, so that a
// suspicion never leaves a service without an endpoint, and are never returned as
// the next best. Choose counts the flow as placed at the best candidate.
func Choose(now time.Duration, random *rand.Rand, candidates []*Candidate, exclude func(int) bool) (first, second int) {
	first, second = -1, -1
	var best, next rank
	for i, c := range candidates {
		c.beginPace(random)
		if exclude != nil && exclude(i) {
			continue
		}
		r := rank{status: c.status(now), cost: c.cost(now, random)}
		switch {
		case first < 0 || r.before(best):
			second, next = first, best
			first, best = i, r
		case second < 0 || r.before(next):
			second, next = i, r
		}
	}
	if second >= 0 && next.status == suspected {
		second = -1
	}
	if first >= 0 {
		candidates[first].AgentLoad.placed.Add(1)
		candidates[first].countPace(now)
	}
	return first, second
}

// rank orders candidates by status, then by cost.
type rank struct {
	status status
	cost   float64
}

func (r rank) before(other rank) bool {
	if r.status != other.status {
		return r.status < other.status
	}
	return r.cost < other.cost
}
