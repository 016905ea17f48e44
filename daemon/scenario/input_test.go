package scenario_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"ladderridge.example/daemon/wire"
)

// TestInvalidRequestsAreRefused sends invalid requests: each is refused with its
// status and error code, and none reaches an engine.
func TestInvalidRequestsAreRefused(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	chat := chatBody("roster", false, 1)
	for name, in := range map[string]struct {
		method  string
		path    string
		body    string
		headers []header
		status  int
		code    string
	}{
		"no key":             {"POST", wire.PathChat, chat, []header{{"Authorization", ""}}, 401, "missing_key"},
		"wrong key":          {"POST", wire.PathChat, chat, []header{{"Authorization", "Bearer x"}}, 401, "unknown_key"},
		"wrong method":       {"GET", wire.PathChat, "", nil, 405, "wrong_method"},
		"no such path":       {"GET", "/v2", "", nil, 404, "no_such_path"},
		"malformed":          {"POST", wire.PathChat, `{"model":`, nil, 400, "bad_request"},
		"not an object":      {"POST", wire.PathChat, `null`, nil, 400, "bad_request"},
		"two objects":        {"POST", wire.PathChat, chat + chat, nil, 400, "bad_request"},
		"no messages":        {"POST", wire.PathChat, `{"model":"roster"}`, nil, 400, "bad_request"},
		"negative tokens":    {"POST", wire.PathChat, chatBody("roster", false, -1), nil, 400, "bad_request"},
		"unknown model":      {"POST", wire.PathChat, chatBody("other", false, 1), nil, 404, "model_not_allowed"},
		"too large":          {"POST", wire.PathChat, strings.Repeat("x", 5<<20), nil, 413, "body_too_large"},
		"absurd deadline":    {"POST", wire.PathChat, chat, []header{{wire.HeaderDeadline, "-3"}}, 400, "bad_deadline"},
		"endless deadline":   {"POST", wire.PathChat, chat, []header{{wire.HeaderDeadline, "99999999999"}}, 400, "bad_deadline"},
		"forged pin":         {"POST", wire.PathChat, chat, []header{{wire.HeaderPin, "AAAA"}}, 400, "bad_session_pin"},
		"long key":           {"POST", wire.PathChat, chat, []header{{wire.HeaderKey, strings.Repeat("k", 300)}}, 400, "bad_request"},
		"repeat neither":     {"POST", wire.PathChat, chat, []header{{wire.HeaderRepeat, "maybe"}}, 400, "bad_request"},
		"unknown service":    {"POST", wire.PathService + "nobody/x", "", nil, 403, "call_not_allowed"},
		"models, wrong verb": {"POST", wire.PathModels, "", nil, 405, "wrong_method"},
	} {
		a := c.do("entry-0", in.method, in.path, in.body, in.headers...)
		if a.status != in.status || a.code() != in.code || a.run() != "not_run" {
			t.Errorf("%s: %d %s %s, want %d %s not_run", name, a.status, a.code(), a.run(), in.status, in.code)
		}
	}
	if a := c.do("entry-0", "POST", wire.PathChat, `{"model":"roster","messages":7}`); strings.Contains(a.body, "Go ") || !strings.Contains(a.body, "the field messages must be a list") {
		t.Errorf("a wrong type: %s", a.body)
	}
	if a := sendTruncated(t, c.daemons["entry-0"].callers); !strings.Contains(a, "400") {
		t.Errorf("a truncated body: %s", a)
	}
	for id := range c.engines {
		if n := c.runCount(id); n != 0 {
			t.Errorf("%s ran %d requests", id, n)
		}
	}
}

// TestClientLibrariesUnderstandAnswers checks what the published client library of the
// chat API sends and requires: content as a list of parts, a total token count, and a final
// chunk of the same form as the others.
func TestClientLibrariesUnderstandAnswers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	const parts = `{"model":"roster","max_tokens":2,"stream":%v,"messages":[{"role":"user","content":[{"type":"text","text":"hello"}]}]}`
	a := c.do("entry-0", "POST", wire.PathChat, fmt.Sprintf(parts, false))
	var full wire.ChatAnswer
	if err := json.Unmarshal([]byte(a.body), &full); err != nil || a.status != 200 || full.Usage.TotalTokens < full.Usage.CompletionTokens {
		t.Fatalf("%d %s, %v", a.status, a.body, err)
	}
	a = c.do("entry-0", "POST", wire.PathChat, fmt.Sprintf(parts, true))
	last := ""
	for line := range strings.Lines(a.body) {
		if data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok && data != wire.Terminator {
			last = data
		}
	}
	var chunk map[string]json.RawMessage
	if err := json.Unmarshal([]byte(last), &chunk); err != nil || string(chunk["choices"]) != "[]" || chunk["id"] == nil || string(chunk["object"]) != `"chat.completion.chunk"` {
		t.Errorf("the final chunk is %s, %v", last, err)
	}
}

// sendTruncated sends a body shorter than its Content-Length and returns the status line.
func sendTruncated(t *testing.T, addr string) string {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", wire.PathChat, orgKey)
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return line
}

// TestHTTP2 sends a request over HTTP/2 without TLS, as load balancers do.
func TestHTTP2(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	r, err := http.NewRequest(http.MethodPost, "http://"+c.daemons["entry-0"].callers+wire.PathChat, strings.NewReader(chatBody("roster", true, 3)))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+orgKey)
	resp, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.ProtoMajor != 2 || !strings.Contains(string(data), wire.Terminator) {
		t.Errorf("HTTP/%d: %s %v", resp.ProtoMajor, data, err)
	}
}

// TestModelsAndServices checks that an organisation sees only the versions that it may
// use, and that calls of every method are forwarded to a service.
func TestModelsAndServices(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	a := c.do("entry-0", http.MethodGet, wire.PathModels, "", header{"Authorization", "Bearer " + otherKey})
	if strings.Contains(a.body, "v2") || !strings.Contains(a.body, v1.String()) {
		t.Errorf("licence-desk may use %s", a.body)
	}
	if a := c.chat("entry-0", v1.String()); !strings.Contains(a.body, "system_fingerprint") || !strings.Contains(a.body, a.header.Get(wire.HeaderRequest)) {
		t.Errorf("a field that only the engine sets was dropped: %s", a.body)
	}
	for _, method := range []string{"GET", "PUT", "DELETE", "PATCH"} {
		a := c.do("entry-0", method, wire.PathService+"broker/seats/7?all=1", "body")
		if a.status != http.StatusOK || a.body != method+" /seats/7 body" || a.run() != "done" {
			t.Errorf("%s: %d %q", method, a.status, a.body)
		}
	}
}
