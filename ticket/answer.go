package ticket

// maxAnswerBytes bounds the documents in one response; one document is always
// sent whole.
const maxAnswerBytes = 128 << 10

// Answer compares the register with what a request names. It changes nothing:
// the caller joins the request's tickets and learns its digests before.
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
	for _, key := range r.asked(request) {
		entry := r.entries[key]
		ours := DigestOf(entry.Held)
		if d, known := theirs[key]; known && !lacks(d, ours) {
			if d.SameTicket(ours) && ours.Compare(d) > 0 {
				response.Better = append(response.Better, ours)
			}
			continue
		}
		if budget <= 0 {
			response.More = true
			break
		}
		budget -= len(entry.Document)
		response.Held = append(response.Held, entry.Held)
	}
	return response
}

// asked returns the services held here that a request asks about.
func (r *Register) asked(request Request) []ServiceKey {
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

// lacks tells whether the holder of theirs must be sent the document of ours.
// A better place of the same document travels in digests alone.
func lacks(theirs, ours Digest) bool {
	return !theirs.SameTicket(ours) && ours.Compare(theirs) > 0
}

// isNewer tells whether a digest names a document that must be fetched.
func (r *Register) isNewer(d Digest) bool {
	entry := r.entries[d.Service]
	return entry == nil || lacks(DigestOf(entry.Held), d)
}

// give returns the tickets of the given services, within the bound of one
// message.
func (r *Register) give(keys []ServiceKey) []Held {
	var held []Held
	budget := maxAnswerBytes
	for _, key := range keys {
		entry := r.entries[key]
		if entry == nil || budget <= 0 {
			continue
		}
		budget -= len(entry.Document)
		held = append(held, entry.Held)
	}
	return held
}
