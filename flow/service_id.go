package flow

// ServiceID identifies the name of a service within one process, in less memory than the name.
// 0 stands for a service that is not known.
type ServiceID uint32

// ServiceIDs assigns the IDs.
//
// Invariant: no ID is assigned twice, so that a flow keeps the ID of the service for which it
// was placed, whatever names come and go.
type ServiceIDs struct {
	ids  map[string]ServiceID
	last ServiceID
}

// Of returns the ID of a service's name.
func (s *ServiceIDs) Of(name string) ServiceID {
	id, ok := s.ids[name]
	if !ok {
		s.last++
		id = s.last
		if s.ids == nil {
			s.ids = make(map[string]ServiceID)
		}
		s.ids[name] = id
	}
	return id
}

// Retain forgets the names that are not used: they get other IDs if they return.
func (s *ServiceIDs) Retain(used func(name string) bool) {
	for name := range s.ids {
		if !used(name) {
			delete(s.ids, name)
		}
	}
}
