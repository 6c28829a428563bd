package flow

import "fmt"

// flushBulk sends a balancer's bulk queries, which are due at some time later.
func (s *simulation) flushBulk(b int) {
	assignments := s.balancers[b]
	s.queue = append(s.queue, message{description: fmt.Sprintf("bulk queries of balancer %d are due", b), arrive: func() {
		if s.balancers[b] != assignments {
			return // it was restarted
		}
		s.now = max(s.now, assignments.BulkDueAt())
		for _, d := range assignments.FlushBulk(s.now) {
			s.bulkQuery(b, d)
		}
	}})
}

func (s *simulation) bulkQuery(b int, d BulkDatagram) {
	a := s.agents[d.Agent.IP[3]-1]
	s.enqueue(fmt.Sprintf("bulk query %d at agent %v", d.ID, d.Agent), func() {
		answer := a.flowTable.BulkQuery(s.now, d.BulkQuery)
		s.enqueue(fmt.Sprintf("bulk answer %+v of agent %v", answer, d.Agent), func() {
			held, next := s.balancers[b].BulkAnswered(s.now, d.Agent, answer, s.table)
			for _, key := range held {
				s.found(b, key, d.Agent)
			}
			for _, r := range next {
				s.continueSearch(b, r.Packet.Flow, r.Decision, r.Datagram)
			}
		})
	})
}
