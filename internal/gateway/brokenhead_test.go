package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Guards against a head that ends in its middle, at any byte, and is relayed as a success
// with an empty or short body: in the status line, the headers and the blank line, and in
// the sizes, the ends and the trailers of chunks.
func TestResponseThatEndsInItsHeadIsNoAnswer(t *testing.T) {
	events := twoEvents
	for name, response := range map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: " + fmt.Sprint(len(events)) + "\r\nX: y\r\n\r\n" + events,
		"chunks":   "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(events), events) + "0\r\n\r\n",
		"trailers": "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(events), events) + "0\r\nT: z\r\n\r\n",
		"empty":    "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/once/x"} {
			const id = "0123456789"
			text := fmt.Sprintf(response, id)
			for cut := range text {
				t.Run(fmt.Sprintf("%s %s after %d bytes", name, path, cut), func(t *testing.T) {
					b := newRawBackend(t, func(conn net.Conn, _ *bufio.Reader, r *http.Request) { _, _ = io.WriteString(conn, text[:cut]) })
					w := newTestGateway(t, servedBy(path, b))
					status, body, whole, _ := w.ask(t, http.MethodPost, path, func(r *http.Request) { r.Header.Set("Id", id) })
					if status == http.StatusOK && whole {
						t.Errorf("after %q: 200 with the body %q", text[:cut], body)
					}
					if status == http.StatusServiceUnavailable { // it may have run
						t.Errorf("after %q: %s", text[:cut], body)
					}
				})
			}
		}
	}
}
