package frontend

import (
	"io"
	"net/http"
)

// copySize is the size of the buffer to copy an answer, in bytes.
const copySize = 32 << 10

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopByHopHeaders(header http.Header) {
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// copyResponse copies an answer to the caller while it arrives and flushes each
// part. It returns answered, or truncated if the answer was not copied
// completely, or if nothing shows that it was complete.
func copyResponse(w http.ResponseWriter, response *http.Response) outcome {
	removeHopByHopHeaders(response.Header)
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	controller := http.NewResponseController(w)
	buffer := make([]byte, copySize)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return truncated
			}
			_ = controller.Flush()
		}
		if err == io.EOF && isFramed(response) {
			return answered
		}
		if err != nil {
			return truncated
		}
	}
}

// isFramed reports whether the end of an answer shows that it is complete. One without a
// length ends with its connection, also if the backend server failed halfway.
func isFramed(response *http.Response) bool {
	return response.ProtoMajor > 1 || response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}
