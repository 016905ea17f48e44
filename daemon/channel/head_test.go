package channel_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"ladderridge.example/core/fault"
	"ladderridge.example/daemon/channel"
)

// read sends a request to a server that answers with a text, and returns the answer.
func read(t *testing.T, method, text string) (status int, got string, err error) {
	t.Helper()
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, text)
	})
	x := request(addr, "r")
	x.Method = method
	r, err := newPool().Send(t.Context(), x)
	if err != nil {
		return 0, "", err
	}
	defer r.Close()
	body, err := io.ReadAll(r)
	return r.Status, string(body), err
}

// whole is an answer behind another one, which may be taken for its own.
const whole = "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 5\r\n\r\nother"

// Heads that are not those of HTTP reached callers as answers: a status below 100 as an interim response with
// the next answer behind it, a name with a blank with the line as it stood or with another body.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	status := func(line string) string { return line + "\r\nId: r\r\nContent-Length: 4\r\n\r\nbody" }
	field := func(line string) string {
		return "HTTP/1.1 200 OK\r\nId: r\r\n" + line + "Content-Length: 4\r\n\r\nbody"
	}
	framed := func(fields string) string {
		return "HTTP/1.1 200 OK\r\nId: r\r\n" + fields + "\r\n4\r\nbody\r\n0\r\n\r\n"
	}
	for name, text := range map[string]string{
		"status 000":                             "HTTP/1.1 000 X\r\nId: r\r\n\r\n" + whole,
		"status 000 with a length":               status("HTTP/1.1 000 X"),
		"status 001":                             "HTTP/1.1 001 X\r\n\r\n" + whole,
		"status 099":                             "HTTP/1.1 099 X\r\n\r\n" + whole,
		"status with a sign":                     "HTTP/1.1 +20 X\r\n\r\n" + whole,
		"negative status":                        "HTTP/1.1 -20 X\r\n\r\n" + whole,
		"status of two digits":                   status("HTTP/1.1 20 X"),
		"status of four digits":                  status("HTTP/1.1 2000 X"),
		"status that is a text":                  status("HTTP/1.1 two X"),
		"no status":                              status("HTTP/1.1"),
		"two spaces before the status":           status("HTTP/1.1  200 OK"),
		"control byte in the reason":             status("HTTP/1.1 200 O\x01K"),
		"another major version":                  status("HTTP/2.0 200 OK"),
		"version 0.9":                            status("HTTP/0.9 200 OK"),
		"version without a minor one":            status("HTTP/1 200 OK"),
		"another protocol":                       status("ICY 200 OK"),
		"switch of the protocol":                 "HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n" + whole,
		"interim response with a length":         "HTTP/1.1 103 X\r\nContent-Length: 2\r\n\r\nok" + whole,
		"interim response in chunks":             "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + whole,
		"blank before the colon":                 field("Name : value\r\n"),
		"tab before the colon":                   field("Name\t: value\r\n"),
		"blank in a name":                        field("Na me: value\r\n"),
		"control byte in a name":                 field("Na\x01me: value\r\n"),
		"null byte in a name":                    field("Na\x00me: value\r\n"),
		"delete in a name":                       field("Na\x7fme: value\r\n"),
		"separator in a name":                    field("Na(me: value\r\n"),
		"byte beyond ASCII in a name":            field("N\xe4me: value\r\n"),
		"empty name":                             field(": value\r\n"),
		"blank before the first name":            "HTTP/1.1 200 OK\r\n Name: value\r\nId: r\r\nContent-Length: 4\r\n\r\nbody",
		"no colon":                               field("Name value\r\n"),
		"control byte in a value":                field("Name: va\x01lue\r\n"),
		"null byte in a value":                   field("Name: va\x00lue\r\n"),
		"carriage return in a value":             field("Name: va\rlue\r\n"),
		"carriage return in a name":              field("Na\rme: value\r\n"),
		"blank before a name":                    field("Name: value\r\n Other: value\r\n"),
		"tab before a name":                      field("Name: value\r\n\tOther: value\r\n"),
		"blank before the length":                "HTTP/1.1 200 OK\r\nId: r\r\nName: value\r\n Content-Length: 4\r\n\r\nbodyrest",
		"value that is continued":                field("Name: value\r\n more\r\n"),
		"blank in the name of the length":        "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length : 4\r\n\r\nbodyrest",
		"blank in the name of the coding":        framed("Transfer-Encoding : chunked\r\n"),
		"coding and length":                      framed("Transfer-Encoding: chunked\r\nContent-Length: 14\r\n"),
		"coding in HTTP/1.0":                     strings.Replace(framed("Transfer-Encoding: chunked\r\n"), "1.1", "1.0", 1),
		"unknown coding":                         framed("Transfer-Encoding: gzip, chunked\r\n"),
		"coding twice":                           framed("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
		"coding that is none":                    framed("Transfer-Encoding: identity\r\n"),
		"empty coding":                           framed("Transfer-Encoding:\r\n"),
		"two lengths":                            framed("Content-Length: 4\r\nContent-Length: 5\r\n"),
		"two lengths in one line":                framed("Content-Length: 4, 5\r\n"),
		"length with a sign":                     framed("Content-Length: +4\r\n"),
		"negative length":                        framed("Content-Length: -4\r\n"),
		"length beyond 64 bits":                  framed("Content-Length: 99999999999999999999\r\n"),
		"length that is a text":                  framed("Content-Length: four\r\n"),
		"empty length":                           framed("Content-Length:\r\n"),
		"no colon in the trailer":                "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nnonsense\r\n\r\n",
		"blank in a name of the trailer":         "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nNa me: x\r\n\r\n",
		"size of a chunk beyond 64 bits":         "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nbody\r\n0\r\n\r\n",
		"connection that ends before a trailer":  "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
		"answer behind one that is not complete": "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 400\r\n\r\nbody",
	} {
		if status, body, err := read(t, "GET", text); !fault.Is(err, channel.Interrupted) && !fault.Is(err, channel.Malformed) {
			t.Errorf("%s: status %d, body %q, %v", name, status, body, err)
		}
	}
}

// A stricter reader must not refuse what servers may send.
func TestSoundHeadsInAllFormsAreAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		method, text, body string
		status             int
	}{
		"length":                     {"GET", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 4\r\n\r\nbody", "body", 200},
		"chunks":                     {"GET", "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", "body", 200},
		"chunks, other spelling":     {"GET", "HTTP/1.1 200 OK\r\nid: r\r\ntransfer-encoding:   CHUNKED \r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body", 200},
		"chunks with a trailer":      {"GET", "HTTP/1.1 200 OK\r\nId: r\r\nTrailer: T\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nT: 1\r\nU: 2\r\n\r\n", "body", 200},
		"end of the connection":      {"GET", "HTTP/1.1 200 OK\r\nId: r\r\n\r\nbody", "body", 200},
		"HTTP/1.0":                   {"GET", "HTTP/1.0 200 OK\r\nId: r\r\n\r\nbody", "body", 200},
		"HTTP/1.0 with a length":     {"GET", "HTTP/1.0 200 OK\r\nId: r\r\nContent-Length: 4\r\n\r\nbody", "body", 200},
		"no reason":                  {"GET", "HTTP/1.1 200 \r\nId: r\r\nContent-Length: 4\r\n\r\nbody", "body", 200},
		"no reason and no blank":     {"GET", "HTTP/1.1 200\r\nId: r\r\nContent-Length: 4\r\n\r\nbody", "body", 200},
		"reason beyond ASCII":        {"GET", "HTTP/1.1 200 F\xfcr\tdich\r\nId: r\r\nContent-Length: 4\r\n\r\nbody", "body", 200},
		"length twice":               {"GET", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 4\r\nContent-Length: 4, 4\r\n\r\nbody", "body", 200},
		"line feeds alone":           {"GET", "HTTP/1.1 200 OK\nId: r\nContent-Length: 4\n\nbody", "body", 200},
		"empty value":                {"GET", "HTTP/1.1 200 OK\r\nName:\r\nId: r\r\nContent-Length: 4\r\n\r\nbody", "body", 200},
		"blanks around a value":      {"GET", "HTTP/1.1 200 OK\r\nId: \t r \t\r\nContent-Length:4\r\n\r\nbody", "body", 200},
		"value beyond ASCII":         {"GET", "HTTP/1.1 200 OK\r\nName: \xe4\xf6\r\nId: r\r\nContent-Length: 4\r\n\r\nbody", "body", 200},
		"name of all characters":     {"GET", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~9a: x\r\nId: r\r\nContent-Length: 4\r\n\r\nbody", "body", 200},
		"long value":                 {"GET", "HTTP/1.1 200 OK\r\nName: " + strings.Repeat("x", 20_000) + "\r\nId: r\r\nContent-Length: 4\r\n\r\nbody", "body", 200},
		"interim responses":          {"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 X\r\n\r\n" + whole, "other", 200},
		"no content":                 {"GET", "HTTP/1.1 204 X\r\nId: r\r\n\r\n", "", 204},
		"no content, length 0":       {"GET", "HTTP/1.1 204 X\r\nId: r\r\nContent-Length: 0\r\n\r\n", "", 204},
		"not modified with a length": {"GET", "HTTP/1.1 304 X\r\nId: r\r\nContent-Length: 400\r\n\r\n", "", 304},
		"answer to HEAD":             {"HEAD", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 400\r\n\r\n", "", 200},
		"answer to HEAD in chunks":   {"HEAD", "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n", "", 200},
		"empty body":                 {"GET", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 0\r\n\r\n", "", 200},
		"status 599":                 {"GET", "HTTP/1.1 599 X\r\nId: r\r\nContent-Length: 4\r\n\r\nbody", "body", 599},
	} {
		status, body, err := read(t, c.method, c.text)
		if err != nil || status != c.status || body != c.body {
			t.Errorf("%s: status %d, body %q, %v", name, status, body, err)
		}
	}
}
