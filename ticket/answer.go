package ticket

// maxAnswerBytes bounds the total size of the documents in one response. The
// check comes before each document, so the last one may exceed it: a document
// is always sent whole.
const maxAnswerBytes = 128 << 10

// Answer returns the response to a request by comparing the register with the
// digests in the request. It does not change the register: the caller has
// already joined the tickets and digests of the request.
func (r *Register) Answer(request Request) Response {
	response := Response{Summary: r.Summary()}
	if request.Summarized && request.Summary != response.Summary {
		sums := r.Sums()
		response.Sums = &sums
	}
	theirs := make(map[ServiceKey]Digest, len(request.Digests))
	for _, d := range request.Digests {
		theirs[d.Service] = d
		if r.isNewer(d) {
			response.Wanted = append(response.Wanted, d.Service)
		}
	}
	budget := maxAnswerBytes
	for _, key := range r.requested(request) {
		entry := r.entries[key]
		ours := DigestOf(entry.Record)
		if d, known := theirs[key]; known && !needsDocument(d, ours) {
			if d.SameTicket(ours) && ours.Compare(d) > 0 {
				response.HigherRanked = append(response.HigherRanked, ours)
			}
			continue
		}
		if budget <= 0 {
			response.More = true
			break
		}
		budget -= len(entry.Document)
		response.Records = append(response.Records, entry.Record)
	}
	return response
}

// requested returns the services with a ticket in the register that a request
// names, alone or by bucket.
func (r *Register) requested(request Request) []ServiceKey {
	var keys []ServiceKey
	for _, key := range request.Services {
		if r.entries[key] != nil {
			keys = append(keys, key)
		}
	}
	wanted := bucketSet(request.Buckets)
	for key := range r.entries {
		if wanted[BucketOf(key)] {
			keys = append(keys, key)
		}
	}
	return keys
}

// needsDocument reports whether a node with the ticket theirs must be sent the
// document of ours. If both are the same document and only ours ranks higher,
// the digest is enough.
func needsDocument(theirs, ours Digest) bool {
	return !theirs.SameTicket(ours) && ours.Compare(theirs) > 0
}

// isNewer reports whether a digest names a document that must be fetched.
func (r *Register) isNewer(d Digest) bool {
	entry := r.entries[d.Service]
	return entry == nil || needsDocument(DigestOf(entry.Record), d)
}

// ticketsOf returns the tickets of the given services, up to the size limit of
// one message.
func (r *Register) ticketsOf(keys []ServiceKey) []Record {
	var records []Record
	budget := maxAnswerBytes
	for _, key := range keys {
		entry := r.entries[key]
		if entry == nil || budget <= 0 {
			continue
		}
		budget -= len(entry.Document)
		records = append(records, entry.Record)
	}
	return records
}
