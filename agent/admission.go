package agent

import "cactustray/admission"

func (s *state) decide(decisions []admission.Decision) {
	for _, d := range decisions {
		reply := s.replies[d.ID]
		delete(s.replies, d.ID)
		if reply != nil {
			reply <- d
		}
	}
}
