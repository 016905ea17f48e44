package soak_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"ladderridge.example/soak"
)

// echo starts a server that echoes what each connection sends, and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// sendAndExpect sends a word and expects it to be echoed.
func sendAndExpect(t *testing.T, c net.Conn, word string) {
	t.Helper()
	if _, err := io.WriteString(c, word); err != nil {
		t.Fatal(err)
	}
	expect(t, c, word)
}

func expect(t *testing.T, c net.Conn, word string) {
	t.Helper()
	got := make([]byte, len(word))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != word {
		t.Fatalf("%q, %v", got, err)
	}
}

func TestTCPProxyStallsAndResumes(t *testing.T) {
	link, err := soak.NewTCPProxy(echo(t))
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	c := dial(t, link.Addr())
	sendAndExpect(t, c, "one")
	for _, d := range []soak.Direction{soak.ToServer, soak.ToClient} {
		link.Stall(d, true)
		if _, err := io.WriteString(c, "held"); err != nil {
			t.Fatal(err)
		}
		link.Stall(d, false)
		expect(t, c, "held")
	}
}

func TestTCPProxyResetsAndRefuses(t *testing.T) {
	link, err := soak.NewTCPProxy(echo(t))
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	c := dial(t, link.Addr())
	sendAndExpect(t, c, "one")
	link.Refuse(true)
	link.Reset()
	if _, err := c.Read(make([]byte, 1)); err == nil || err == io.EOF { //nolint:errorlint // Read returns io.EOF itself.
		t.Errorf("the connection was not reset: %v", err)
	}
	// The reset may arrive before or after Dial returns.
	if fresh, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", link.Addr()); err == nil {
		if _, err := fresh.Read(make([]byte, 1)); err == nil {
			t.Error("a new connection was not refused")
		}
		_ = fresh.Close()
	}
	link.Refuse(false)
	sendAndExpect(t, dial(t, link.Addr()), "two")
}

func TestTCPProxyDownRefusesAndRecovers(t *testing.T) {
	l, err := soak.NewTCPProxy(echo(t))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for range 3 {
		if err := l.SetDown(true); err != nil {
			t.Fatal(err)
		}
		if c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("%v, %v", c, err)
		}
		if err := l.SetDown(false); err != nil {
			t.Fatal(err)
		}
		sendAndExpect(t, dial(t, l.Addr()), "there")
	}
}

func TestUDPProxyForwardsDatagrams(t *testing.T) {
	server, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	proxy, err := soak.NewUDPProxy(server.LocalAddr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "udp", proxy.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "ping")
	buf := make([]byte, 16)
	n, from, err := server.ReadFromUDP(buf)
	if err != nil || string(buf[:n]) != "ping" {
		t.Fatalf("%q, %v", buf[:n], err)
	}
	_, _ = server.WriteToUDP([]byte("pong"), from)
	expect(t, c, "pong")
}
