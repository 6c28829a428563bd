package directory

// Evacuation is the order that the endpoints of a failure domain get no new flows, or its
// end. Open flows continue.
type Evacuation struct {
	Zone string
	// ModRevision is the source's revision of the order, or of its end.
	ModRevision Revision
	Ended       bool
}
