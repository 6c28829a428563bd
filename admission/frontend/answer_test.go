package frontend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startRawServer starts a server whose answers are written by answer, which gets the path
// of each request and returns false to close the connection.
func startRawServer(t *testing.T, answer func(conn net.Conn, path string) bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(in)
					if err != nil || !answer(conn, request.URL.Path) {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func answerOf(path string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + string(rune('0'+len(path))) + "\r\n\r\n" + path
}

// A backend server sends a second copy of an answer when the next request arrives on the
// connection. The next caller gets its own answer.
func TestSecondCopyOfAnswerReachesNobody(t *testing.T) {
	previous := make(map[net.Conn]string)
	backend := startRawServer(t, func(conn net.Conn, path string) bool {
		if late := previous[conn]; late != "" {
			_, _ = io.WriteString(conn, answerOf(late))
		}
		previous[conn] = path
		_, err := io.WriteString(conn, answerOf(path))
		return err == nil
	})
	h, _ := newTestHandler(t, backend)
	for _, path := range []string{"/a", "/b", "/c", "/d"} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, http.NoBody))
		must.EqOp(t, http.StatusOK, w.Code)
		must.EqOp(t, path, w.Body.String())
	}
}

// An answer without a length ends with its connection, whether it is whole or not: the
// caller must not take it for a complete one.
func TestAnswerWithoutLengthIsNotComplete(t *testing.T) {
	backend := startRawServer(t, func(conn net.Conn, _ string) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nthe first half")
		return false
	})
	h, d := newTestHandler(t, backend)
	w := httptest.NewRecorder()
	func() {
		defer func() { must.Eq(t, any(http.ErrAbortHandler), recover()) }()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/a", http.NoBody))
		t.Fatalf("status %d, body %q", w.Code, w.Body)
	}()
	for d.finished.Load() == 0 { // the slot is freed
		time.Sleep(time.Millisecond)
	}
}

// Retry-After has whole seconds, rounded up, and is never less than one.
func TestRetryAfterFollowsTheBacklog(t *testing.T) {
	for after, want := range map[time.Duration]string{0: "1", 300 * time.Millisecond: "1", 1001 * time.Millisecond: "2", 12 * time.Second: "12"} {
		w := httptest.NewRecorder()
		writeResult(w, result{outcome: notRun, detail: "queue_full", retryAfter: after})
		must.EqOp(t, http.StatusServiceUnavailable, w.Code)
		must.EqOp(t, OutcomeNotRun, w.Header().Get(OutcomeHeader))
		must.EqOp(t, want, w.Header().Get("Retry-After"))
	}
}
