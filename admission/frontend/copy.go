package frontend

import (
	"io"
	"net/http"
)

// copySize is how much of an answer is copied at once, in bytes.
const copySize = 32 << 10

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopByHopHeaders(header http.Header) {
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// copyResponse passes an answer on as it comes and tells whether it came whole.
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
		if err == io.EOF {
			return answered
		}
		if err != nil {
			return truncated
		}
	}
}
