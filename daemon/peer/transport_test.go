package peer_test

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/phuslu/log"

	"ladderridge.example/core/clock"
	"ladderridge.example/core/node"
	"ladderridge.example/daemon/keys"
	"ladderridge.example/daemon/peer"
)

// endpoint is the transport of one daemon.
type endpoint struct {
	*peer.Transport
	received chan peer.Incoming
}

func freeUDP(t *testing.T) string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

func newEndpoint(t *testing.T, dir, id string) *endpoint {
	t.Helper()
	e := &endpoint{received: make(chan peer.Incoming, 100)}
	e.Transport = &peer.Transport{
		Addr: freeUDP(t), Log: log.Logger{Level: log.ErrorLevel},
		Keys:    &peer.Keys{Certificate: filepath.Join(dir, id+".pem"), Key: filepath.Join(dir, id+".key"), Authority: filepath.Join(dir, keys.AuthorityFile)},
		Deliver: func(in peer.Incoming) { e.received <- in },
	}
	if err := e.Keys.(*peer.Keys).Load(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	return e
}

func authority(t *testing.T, ids ...string) string {
	t.Helper()
	dir := t.TempDir()
	if err := keys.MakeAuthority(dir); err != nil {
		t.Fatal(err)
	}
	for _, id := range ids {
		if err := keys.MakeDaemon(dir, id); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// sendUntil sends a message repeatedly until it arrives, because datagrams may
// be lost.
func sendUntil(t *testing.T, from *endpoint, id string, to *endpoint, m node.Message) peer.Incoming {
	t.Helper()
	again := clock.NewTicker(20 * time.Millisecond)
	defer again.Stop()
	end := clock.After(30 * time.Second)
	for {
		from.Send(id, to.Addr, m)
		select {
		case in := <-to.received:
			return in
		case <-again.C:
		case <-end:
			t.Fatal("nothing arrived")
		}
	}
}

func TestMessagesCarryTheirSender(t *testing.T) {
	dir := authority(t, "a", "b")
	a, b := newEndpoint(t, dir, "a"), newEndpoint(t, dir, "b")
	if in := sendUntil(t, a, "b", b, node.Fetch{Topic: 1}); in.From != "a" {
		t.Errorf("from %q", in.From)
	}
	large := node.Release{Keys: make([]string, 5000)}
	for {
		in := sendUntil(t, b, "a", a, large)
		if m, ok := in.Message.(node.Release); ok && len(m.Keys) == 5000 && in.From == "b" {
			break
		}
	}
}

// TestCertificateOfAnotherAuthorityIsRefused has a daemon with a certificate of
// another authority try to send.
func TestCertificateOfAnotherAuthorityIsRefused(t *testing.T) {
	a := newEndpoint(t, authority(t, "a"), "a")
	stranger := newEndpoint(t, authority(t, "b"), "b")
	for stranger.Dropped.Load() < 3 {
		stranger.Send("a", a.Addr, node.Fetch{})
		pause := time.NewTimer(20 * time.Millisecond)
		select {
		case in := <-a.received:
			t.Fatalf("accepted %+v from a daemon of another authority", in)
		case <-pause.C:
		}
	}
}

// TestKeysAreReloaded replaces a daemon's keys and authority while it runs. It
// loads them after each replaced file, as a connection that arrives in between
// does: keys that did not match were once kept for good.
func TestKeysAreReloaded(t *testing.T) {
	old, fresh := authority(t, "a"), authority(t, "a", "b")
	a := newEndpoint(t, old, "a")
	later := time.Now().Add(time.Hour)
	for _, name := range []string{"a.pem", "a.key", keys.AuthorityFile} {
		if err := a.Keys.(*peer.Keys).Load(); err != nil {
			t.Fatal(err)
		}
		data, err := os.ReadFile(filepath.Join(fresh, name))
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(old, name)
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, later, later); err != nil {
			t.Fatal(err)
		}
	}
	b := newEndpoint(t, fresh, "b")
	if in := sendUntil(t, b, "a", a, node.Fetch{}); in.From != "b" {
		t.Errorf("from %q", in.From)
	}
}
