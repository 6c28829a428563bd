package wire

// MessageKind is the kind of a datagram between nodes, as traffic is counted.
type MessageKind uint8

// Kinds of datagrams.
const (
	// UnknownKind is a datagram that this version does not know.
	UnknownKind MessageKind = iota
	ForwardKind
	ReturnKind
	HelloKind
	ReportKind
	// OwnerKind is Owner and Denied.
	OwnerKind
	AnnouncementKind
	QueryKind
	AnswerKind
	// HandoverKind is HandoverPart and HandoverQuery.
	HandoverKind
	KindCount
)

func (k MessageKind) String() string {
	return [...]string{"unknown", "forward", "return", "hello", "report", "owner", "announcement", "query", "answer", "handover"}[k]
}

// noticeKinds has the kinds of notices by the protobuf field of their message. The numbers are those
// that the first byte of a field's key shows; fields above 31 would need its second.
var noticeKinds = [...]MessageKind{
	1: HelloKind, 2: ReportKind, 3: OwnerKind, 4: OwnerKind, 5: AnnouncementKind, 6: QueryKind, 7: AnswerKind, 20: QueryKind, 21: AnswerKind, 22: HandoverKind, 23: HandoverKind,
}

// fieldShift is the position of the field's number in the key of a protobuf field.
const fieldShift = 3

// MessageKindOf returns the kind of a datagram. It reads only the first two bytes.
func MessageKindOf(b []byte) MessageKind {
	switch KindOf(b) {
	case Forward, ForwardClass, ForwardNamed:
		return ForwardKind
	case Return:
		return ReturnKind
	case Notice:
		if len(b) > 1 && int(b[1]>>fieldShift) < len(noticeKinds) {
			return noticeKinds[b[1]>>fieldShift]
		}
	}
	return UnknownKind
}
