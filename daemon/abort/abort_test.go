package abort_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"ladderridge.example/daemon/abort"
	"ladderridge.example/daemon/slowreader"
)

// Guards against an aborted response that ends for its caller like a complete one, also in HTTP/1.0, where
// the end of the connection is the end of the body.
func TestAbortedResponseLooksBroken(t *testing.T) {
	g := &slowreader.Guard{}
	s := httptest.NewServer(g.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "id: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		abort.Response(w, r)
	})))
	defer s.Close()
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		c, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := fmt.Fprintf(c, "GET / %s\r\nHost: h\r\n\r\n", version); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			// The reset may discard what the caller has not read.
			continue
		}
		if body, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("%s: %q looks complete", version, body)
		}
	}
}
