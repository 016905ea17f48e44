package peer_test

import (
	"context"
	"crypto/ed25519"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"ladderridge.example/core/clock"
	"ladderridge.example/core/gossip"
	"ladderridge.example/daemon/peer"
)

// published is the directory of public keys that all daemons read.
type published struct {
	mu   sync.Mutex
	keys map[string]ed25519.PublicKey
}

func (p *published) set(id string, key ed25519.PublicKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keys[id] = key
}

func (p *published) get(id string) ed25519.PublicKey {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keys[id]
}

// startSelfSigned starts a transport with generated keys.
func startSelfSigned(t *testing.T, p *published, id string) (*peer.Transport, chan peer.Incoming, ed25519.PublicKey) {
	t.Helper()
	keys, err := peer.NewSelfSignedKeys(id)
	if err != nil {
		t.Fatal(err)
	}
	keys.Trusted = p.get
	got := make(chan peer.Incoming, 100)
	tr := &peer.Transport{Addr: freeUDP(t), Keys: keys, Log: log.Logger{Level: log.PanicLevel}, Deliver: func(in peer.Incoming) { got <- in }}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = tr.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return tr, got, keys.Public()
}

// Messages are accepted only from daemons that have published their key. A
// daemon that uses the id of another is refused.
func TestUnpublishedKeysAreRefused(t *testing.T) {
	p := &published{keys: map[string]ed25519.PublicKey{}}
	a, _, aKey := startSelfSigned(t, p, "a")
	b, atB, bKey := startSelfSigned(t, p, "b")
	p.set("a", aKey)
	p.set("b", bKey)
	stranger, _, _ := startSelfSigned(t, p, "stranger")
	impostor, _, _ := startSelfSigned(t, p, "a")
	again := clock.NewTicker(20 * time.Millisecond)
	defer again.Stop()
	for arrived := 0; arrived < 3; {
		// Messages may be lost while the listeners start.
		stranger.Send("b", b.Addr, gossip.Request{Nonce: 1000})
		impostor.Send("b", b.Addr, gossip.Request{Nonce: 2000})
		a.Send("b", b.Addr, gossip.Request{Nonce: 1})
		select {
		case in := <-atB:
			if request, ok := in.Message.(gossip.Request); !ok || in.From != "a" || request.Nonce != 1 {
				t.Fatalf("%s sent %+v", in.From, in.Message)
			}
			arrived++
		case <-again.C:
		}
	}
}
