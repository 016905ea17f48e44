package peer_test

import (
	"bytes"
	"errors"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"ladderridge.example/core/aggregation"
	"ladderridge.example/core/bill"
	"ladderridge.example/core/canary"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/member"
	"ladderridge.example/core/node"
	"ladderridge.example/core/replication"
	"ladderridge.example/core/revision"
	"ladderridge.example/daemon/peer"
)

// messages has one message of each type.
var messages = []peer.Message{
	node.Heartbeat{
		Incarnation: 7, Hall: "h", Addr: "127.0.0.1:1", WantsReply: true, Turn: 3,
		Offers:  []replication.Offer{{Topic: replication.VMs, Number: 4, Sum: 5, AgeMS: 6}},
		Updates: []member.Update{{ID: "a", Incarnation: 2, State: member.Down}},
		Leaving: []node.LeavingServer{{ID: "e", AgeMS: 1}},
	},
	node.Fetch{Topic: replication.Config},
	node.Deliver{Document: replication.NewDocument(replication.Config, 9, []byte("table")), AgeMS: 8},
	node.SubtreeSums{Sums: aggregation.Sums{Daemons: 2, MemberChecksum: 5, OldestGeneration: 1, Demands: []aggregation.Demand{{Key: 1, Requests: 2, Tokens: 3, InFlight: 4}}}},
	node.TotalsReport{Totals: aggregation.Totals{FreshOthers: 1, Halls: []aggregation.HallStatus{{Name: "h", Members: 3, Complete: true, Round: 4}}}},
	node.HallReport{Hall: aggregation.HallTotal{Status: aggregation.HallStatus{Name: "h", Members: 3}, Sums: aggregation.Sums{Evidence: []aggregation.Evidence{{Key: 1, Answers: 2, Bad: 1}}}}},
	node.Copies{Bills: []bill.Bill{{Key: "k", Organisation: "o", Tokens: 3, Cost: 4}}, Adopt: true},
	node.CopiesHeld{Keys: []string{"k"}},
	node.Release{Keys: []string{"k", "l"}},
	gossip.Request{Nonce: 7, Digests: []gossip.TopicDigest{{Topic: gossip.Servers, Version: revision.New(1, 3), Sum: 9}}, LimitSum: 3, Limits: []gossip.Limit{{ID: "a", Born: 4, Rate: 1.6, RequestedMS: 5, ReceivedMS: 6}}},
	gossip.Response{Nonce: 7, Updates: []gossip.Update{{Topic: gossip.Servers, Version: revision.New(2, 4), AgeMS: 5, Sum: 1, Base: 2, Rows: []gossip.Row{{Key: "k", Data: []byte("row"), Version: revision.New(2, 4)}}, Removed: []string{"gone"}}}},
	// Long enough to be compressed.
	gossip.Response{Updates: []gossip.Update{{Topic: gossip.Operator, Complete: true, Rows: []gossip.Row{{Key: "k", Data: bytes.Repeat([]byte("row "), 1000)}}}}},
	gossip.Evidence{Hall: "h", Start: 1, Sequence: 2, Counts: []gossip.Count{{Service: "s", Version: "v", Route: "r", Answers: 3, Failed: 2, First: canary.LatencyHistogram{1, 2}, Between: canary.LatencyHistogram{10: 1}}}, OldInFlight: map[string]int{"s": 4}, Withdrawn: []string{"s@v"}},
}

func TestMessagesRoundTrip(t *testing.T) {
	for _, m := range messages {
		data, err := peer.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := peer.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(m, got, cmpopts.EquateEmpty(), cmp.Exporter(func(reflect.Type) bool { return true })); diff != "" {
			t.Errorf("%T: %s", m, diff)
		}
	}
}

// FuzzDecode checks that any input either decodes or gives a *peer.Error, and
// that a node handles any decoded message without a panic.
func FuzzDecode(f *testing.F) {
	for _, m := range messages {
		data, err := peer.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := peer.Decode(data)
		if err != nil {
			var typed *peer.Error
			if !errors.As(err, &typed) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		l := newNetwork(1)
		l.startAll(3, 2)
		if m, ok := m.(node.Message); ok {
			l.feed("entry-000", node.Received{From: "entry-001", Message: m})
		}
		l.feed("entry-000", node.Tick{})
	})
}
