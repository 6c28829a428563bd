package placement

import "time"

// Usable reports whether the endpoint can get new flows by its agent's recent reports.
func (c *Candidate) Usable(now time.Duration) bool { return c.status(now) == usable }

// EndContact records that the agent reports no more by the balancer's choice: that it reported its
// stop before does not mean that it has not started again.
func (l *AgentLoad) EndContact() { l.leaving.Store(false) }

// Interval returns the interval between reports that the agent's last report stated.
func (l *AgentLoad) Interval() time.Duration { return time.Duration(l.interval.Load()) }

// slowReports is the interval from which reports come more rarely than callers repeat an
// opening packet, which they do first after 200 ms.
const slowReports = 200 * time.Millisecond

// overdueIntervals is how long after a report the next one is overdue, in report intervals.
const overdueIntervals = 1.5

// AwaitsReport reports whether the agent reports more rarely than callers repeat an opening
// packet, and its next report is not overdue. That it has not reported since a flow was placed
// does not show then that it is unreachable.
func (l *AgentLoad) AwaitsReport(now time.Duration) bool {
	interval := l.interval.Load()
	return time.Duration(interval) > slowReports && now-l.ReportedAt() <= time.Duration(overdueIntervals*float64(interval))
}
