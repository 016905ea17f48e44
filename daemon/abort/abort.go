// Package abort ends responses that cannot be completed, so that the caller does not take the part
// that it has for a complete one.
package abort

import (
	"net"
	"net/http"
)

// Response ends a response without the end of its body. It does not return.
func Response(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection: a body of HTTP/1.0 without a length ends where its connection is closed.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
