package packetbalancer

import (
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"cactustray/contact"
	"cactustray/directory"
	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/placement"

	"github.com/shoenig/test/must"
)

const (
	// fetchSize is what a fetch of one change costs: 524 bytes by
	// exchange.TestFetchOfOneChangeIsSmall, and the packets of a new connection.
	fetchSize = 524 + 8*52
	// headerSize is the length of the headers of a datagram.
	headerSize = 28
	// readPause is the time between two announcements of a reader without changes.
	readPause = 700 * time.Millisecond
)

// trafficFleet runs the decisions of all balancers and agents of a deployment in virtual time,
// and counts the bytes between failure domains.
type trafficFleet struct {
	t         *testing.T
	endpoints []directory.Endpoint
	balancers []*state
	agents    map[flow.Address]*fleetAgent
	down      map[flow.Address]bool
	usage     placement.Usage
	position  directory.Position
	announced time.Duration
	// reports and fetches are bytes between failure domains; those of the balancers' datagrams
	// are in their counters.
	reports, fetches int64
}

// fleetAgent is an agent with the balancers in touch and their routing tables' views of it.
type fleetAgent struct {
	zone      string
	receivers contact.Receivers
	inTouch   map[int]*placement.AgentLoad
	lastFast  time.Duration
	lastList  time.Duration
}

// newTrafficFleet returns a deployment of a number of VMs with the proportions of the
// deployments of docs/design/hard-load.md.
func newTrafficFleet(t *testing.T, balancers, agents int) *trafficFleet {
	large := agents * 170 / 215
	f := &trafficFleet{
		t: t, agents: make(map[flow.Address]*fleetAgent), down: make(map[flow.Address]bool),
		position:  directory.Position{Era: 1, Revision: 9},
		usage:     placement.Usage{Flows: 40, Running: 1, Mean: 1.2, ProcessingTime: 40 * time.Millisecond, FlowsKnown: true},
		endpoints: append(spreadEndpoints("orders", 0, large), spreadEndpoints("drawings", large, agents-large)...),
	}
	for i := range balancers {
		s := fleetState(i, f.endpoints)
		s.healthy, s.survey.complete, s.traffic.earlyQueue = new(atomic.Bool), true, newEarlyQueue()
		f.balancers = append(f.balancers, s)
		for j := range balancers {
			s.dissemination.RecordZone(balancerAt(j), zoneNames[j%len(zoneNames)])
		}
	}
	for _, e := range f.endpoints {
		f.agents[f.balancers[0].agentAddress(e.Address)] = &fleetAgent{zone: e.Zone, inTouch: make(map[int]*placement.AgentLoad)}
	}
	return f
}

// meet gives agents the hello messages of the balancers that are in touch with them, and
// balancers the lists of the others.
func (f *trafficFleet) meet(now time.Duration) {
	for _, a := range f.agents {
		clear(a.inTouch)
	}
	for i, s := range f.balancers {
		for j := range f.balancers {
			s.schedule.RecordPeer(now, balancerAt(j))
		}
		for address, e := range s.traffic.table.Load().Agents {
			if a := f.agents[address]; !e.Distant {
				interval, _ := s.contacts.requested(e)
				a.inTouch[i] = e.AgentLoad
				a.receivers.Request(flow.AddressOf(balancerAt(i)), interval)
			}
		}
	}
	for _, a := range f.agents {
		for i := range f.balancers {
			if a.inTouch[i] == nil {
				a.receivers.Remove(flow.AddressOf(balancerAt(i)))
			}
		}
	}
}

// report lets an agent report as packetagent does.
func (f *trafficFleet) report(now time.Duration, a *fleetAgent, usage placement.Usage) {
	const fanout, listInterval = 24, 500 * time.Millisecond
	fast := len(a.inTouch) - a.receivers.Len()
	own := min(max(placement.ReportInterval*time.Duration(fast)/fanout, placement.ReportInterval), time.Second)
	message := wire.Report{Usage: usage, BalancersKnown: now, ReadsClass: true}
	message.Interval = own
	if now-a.lastList >= listInterval {
		a.lastList = now
		for i := range a.inTouch {
			message.Balancers = append(message.Balancers, flow.AddressOf(balancerAt(i)))
		}
	}
	fastDue, size := now-a.lastFast >= own-placement.ReportInterval/2, len(wire.Encode(message))+headerSize
	if fastDue {
		a.lastFast = now
	}
	for i, load := range a.inTouch {
		balancer := flow.AddressOf(balancerAt(i))
		sent := message
		switch {
		case a.receivers.IsSlow(balancer) && a.receivers.Due(now, balancer, own, placement.ReportInterval):
			sent.Balancers, sent.Interval = make([]flow.Address, contact.Listed), a.receivers.Interval(balancer, own)
			a.receivers.Sent(now, balancer)
			size := len(wire.Encode(sent)) + headerSize
			f.countReport(a, i, size)
		case !a.receivers.IsSlow(balancer) && fastDue:
			f.countReport(a, i, size)
		default:
			continue
		}
		load.Report(now, sent.Usage)
	}
}

func (f *trafficFleet) countReport(a *fleetAgent, balancer, size int) {
	if a.zone != zoneNames[balancer%len(zoneNames)] {
		f.reports += int64(size)
	}
}

// announce lets the first balancer read the registry, and delivers its announcement and those
// of the relays.
func (f *trafficFleet) announce(now time.Duration, change directory.Change) {
	f.announced = now
	reader := f.balancers[0]
	reader.readEnded(now, readEnded{change: change})
	for _, target := range reader.dissemination.FromReader(reader.schedule.Peers(now)) {
		f.deliver(now, 0, f.indexOf(target))
	}
	for _, relay := range reader.dissemination.FromReader(reader.schedule.Peers(now)) {
		if i := f.indexOf(relay); i%len(zoneNames) != 0 {
			for j := i % len(zoneNames); j < len(f.balancers); j += len(zoneNames) {
				f.deliver(now, i, j)
			}
		}
	}
	for _, s := range f.balancers {
		must.EqOp(f.t, f.position, s.directory.Position())
	}
}

func (f *trafficFleet) indexOf(balancer netip.AddrPort) int {
	ip := balancer.Addr().As4()
	return int(ip[2])<<8 | int(ip[3])
}

// deliver delivers an announcement, and the directory if it is fetched.
func (f *trafficFleet) deliver(now time.Duration, from, to int) {
	sender, receiver := f.balancers[from], f.balancers[to]
	if from == to {
		return
	}
	receiver.announcementReceived(now, announcementReceived{from: flow.AddressOf(balancerAt(from)), DirectoryAnnouncement: wire.DirectoryAnnouncement{
		Position: sender.directory.Position(), Digest: sender.directory.Digest(), Age: now - sender.directory.AsOf(),
		Control: flow.AddressOf(sender.settings.Packets.Control), Zone: sender.settings.Zone,
	}})
	for len(receiver.reader.fetches) > 0 {
		fetch := <-receiver.reader.fetches
		if from%len(zoneNames) != to%len(zoneNames) {
			f.fetches += fetchSize
		}
		receiver.fetchEnded(now, fetchEnded{fetchRequest: fetch, change: sender.directorySnapshot(now, fetch.Request)})
	}
}

// run advances the time. Each second, if changes is true, an endpoint stops or starts again.
func (f *trafficFleet) run(from, to time.Duration, changes bool) {
	for now := from; now < to; now += tickInterval {
		if changes && (now-from)%time.Second == 0 {
			f.announce(now, f.nextChange(int((now-from)/time.Second)))
		} else if now-f.announced >= readPause {
			f.announce(now, directory.Change{Era: f.position.Era, Revision: f.position.Revision, After: f.position.Revision, AsOf: now})
		}
		for _, s := range f.balancers {
			s.step(now)
			if s.tableExpires && now-s.lastPublish >= rebuildInterval {
				s.publish(now)
			}
		}
		if now%(10*tickInterval) == 0 {
			f.meet(now)
		}
		if now%placement.ReportInterval == 0 {
			for address, a := range f.agents {
				if !f.down[address] {
					f.report(now, a, f.usage)
				}
			}
		}
	}
}

// nextChange stops an endpoint in even seconds and starts it again in odd ones.
func (f *trafficFleet) nextChange(second int) directory.Change {
	e := &f.endpoints[second/2*7%len(f.endpoints)]
	agent := f.balancers[0].agentAddress(e.Address)
	change := directory.Change{Era: 1, After: f.position.Revision, AsOf: f.announced}
	f.position.Revision++
	change.Revision = f.position.Revision
	if f.down[agent] = second%2 == 0; f.down[agent] {
		change.Deleted = []directory.Deleted{{ID: e.ID, ModRevision: change.Revision}}
		return change
	}
	e.Incarnation, e.ModRevision = e.Incarnation+1000, change.Revision
	change.Endpoints = []directory.Endpoint{*e}
	return change
}

// rates are bytes a second between failure domains.
type rates struct{ hello, report, announcement, fetch float64 }

func (r rates) total() float64 { return r.hello + r.report + r.announcement + r.fetch }

func (r rates) String() string {
	return fmt.Sprintf("hello %.1f, report %.1f, announcement %.1f, fetch %.1f, in all %.1f KB/s",
		r.hello/1000, r.report/1000, r.announcement/1000, r.fetch/1000, r.total()/1000)
}

// measure runs the deployment for a time and returns the rates.
func (f *trafficFleet) measure(from, to time.Duration, changes bool) rates {
	before := f.sent()
	f.run(from, to, changes)
	after, seconds := f.sent(), (to - from).Seconds()
	return rates{
		hello: (after.hello - before.hello) / seconds, report: (after.report - before.report) / seconds,
		announcement: (after.announcement - before.announcement) / seconds, fetch: (after.fetch - before.fetch) / seconds,
	}
}

func (f *trafficFleet) sent() rates {
	r := rates{report: float64(f.reports), fetch: float64(f.fetches)}
	for _, s := range f.balancers {
		_, hello := s.traffic.counters.Domains.Sent(wire.HelloKind, true)
		_, announcement := s.traffic.counters.Domains.Sent(wire.AnnouncementKind, true)
		r.hello, r.announcement = r.hello+float64(hello), r.announcement+float64(announcement)
	}
	return r
}

// before returns the rates of a build in which every balancer is in touch with every agent and
// announces to every balancer, from the sizes of its messages.
func before(balancers, agents int, changes float64) rates {
	const remoteShare = 2.0 / 3
	report := wire.Report{BalancersKnown: time.Hour, Usage: placement.Usage{
		Flows: 40, Running: 1, Mean: 1.2, ProcessingTime: 40 * time.Millisecond, FlowsKnown: true, Interval: 200 * time.Millisecond,
	}}
	size := func(m wire.Message) float64 { return float64(len(wire.Encode(m)) + headerSize) }
	hello := size(wire.Hello{Slots: 3, EndpointStart: 1_767_225_600_000, Clock: 1_767_225_600_000})
	news := size(wire.DirectoryAnnouncement{
		Position: directory.Position{Era: 1, Revision: 1000}, Digest: 1 << 60, Age: time.Millisecond, Control: flow.Address{Port: 1},
	})
	plain := size(report)
	report.Balancers = make([]flow.Address, min(balancers, 32))
	list := size(report) - plain
	pairs := float64(balancers*agents) * remoteShare
	each := max(min(240/float64(balancers), 10), 1)
	announced := float64(balancers-1) / readPause.Seconds()
	return rates{
		hello: pairs * (2 + changes) * hello, report: pairs * (each*plain + 2*list),
		announcement: remoteShare * news * (announced + changes*float64(balancers*(balancers-1))),
		fetch:        remoteShare * fetchSize * changes * float64(balancers-1),
	}
}

// Guards against traffic between failure domains that grows with the product of balancers and
// agents: at 300 VMs it stays below 300 KB/s, and below twice that while one endpoint a second
// changes. Searches are not included; they depend on how many flows move.
func TestTrafficBetweenDomainsIsBounded(t *testing.T) {
	for _, size := range []struct {
		balancers, agents int
		limit             float64
	}{{9, 21, 300_000}, {28, 72, 300_000}, {85, 215, 300_000}} {
		f := newTrafficFleet(t, size.balancers, size.agents)
		start := time.Minute
		for _, s := range f.balancers {
			s.publish(start)
		}
		now := start
		run := func(seconds time.Duration) { f.run(now, now+seconds, false); now += seconds }
		measure := func(seconds time.Duration, changes bool) rates {
			now += seconds
			return f.measure(now-seconds, now, changes)
		}
		run(10 * time.Second)
		steady, changing := measure(6*time.Second, false), measure(8*time.Second, true)
		f.usage.Running = 3 // no endpoint has a free slot
		run(3 * time.Second)
		full := measure(4*time.Second, false)
		f.usage.Running = 1
		run(12 * time.Second)
		again := measure(3*time.Second, false)
		name := fmt.Sprintf("%d balancers, %d agents", size.balancers, size.agents)
		t.Logf("%s, before, steady:   %v", name, before(size.balancers, size.agents, 0))
		t.Logf("%s, before, changing: %v", name, before(size.balancers, size.agents, 1))
		t.Logf("%s, now, steady:      %v", name, steady)
		t.Logf("%s, now, changing:    %v", name, changing)
		t.Logf("%s, now, no room:     %v", name, full)
		t.Logf("%s, now, room again:  %v", name, again)
		must.Less(t, steady.total()*1.05, again.total(), must.Sprint("contact falls back"))
		must.Less(t, before(size.balancers, size.agents, 0).total()*1.05, full.total())
		must.Less(t, size.limit, steady.total())
		must.Less(t, 2*size.limit, changing.total())
		must.Positive(t, min(steady.hello, steady.report, steady.announcement, changing.fetch))
	}
}
