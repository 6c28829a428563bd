package admission

// Answer is a stored answer of the backend server.
type Answer interface {
	// Size returns the answer's length in bytes.
	Size() int
}

// StoredAnswer is an HTTP answer. It is immutable.
type StoredAnswer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Size returns the size of the header and the body, in bytes.
func (a *StoredAnswer) Size() int {
	size := len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}
