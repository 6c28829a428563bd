package frontend

import (
	"io"
	"net/http"
)

// copySize is how much of an answer is copied at once, in bytes.
const copySize = 32 << 10

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopHeaders(header http.Header) {
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// copyResponse passes an answer on as it comes and tells whether it came whole.
func copyResponse(w http.ResponseWriter, response *http.Response) fate {
	removeHopHeaders(response.Header)
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
				return cut
			}
			_ = controller.Flush()
		}
		if err == io.EOF {
			return answered
		}
		if err != nil {
			return cut
		}
	}
}
