package fleet_test

import (
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ladderridge.example/core/fleet"
)

// ids returns the ids and versions of a service's servers.
func ids(l *fleet.List, service string) []string {
	out := []string{}
	for _, s := range l.Service(service) {
		out = append(out, s.ID+" "+s.Version)
	}
	return out
}

// A list that is changed repeatedly must equal a list that is built from the remaining
// servers.
func TestChangedListEqualsRebuiltList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := map[string]*fleet.Server{}
		list := fleet.NewList(nil)
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			before := ids(list, "a")
			was := list
			var removed, added []*fleet.Server
			for n := range rapid.IntRange(1, 5).Draw(t, "changes") {
				id := "i-" + strconv.Itoa(rapid.IntRange(0, 30).Draw(t, "id"))
				if old := current[id]; old != nil {
					if containsServer(added, old) {
						continue
					}
					removed = append(removed, old)
					delete(current, id)
				}
				if rapid.Bool().Draw(t, "there") {
					s := &fleet.Server{ID: id, Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), Version: "v" + strconv.Itoa(n), State: fleet.NewServerState(fleet.NewHallState())}
					current[id] = s
					added = append(added, s)
				}
			}
			list = was.With(removed, added)
			var all []*fleet.Server
			for _, s := range current {
				all = append(all, s)
			}
			rebuilt := fleet.NewList(all)
			for _, service := range []string{"a", "b"} {
				if diff := cmp.Diff(ids(rebuilt, service), ids(list, service)); diff != "" {
					t.Fatalf("%s: %s", service, diff)
				}
			}
			if diff := cmp.Diff(before, ids(was, "a")); diff != "" {
				t.Fatalf("the original list was modified: %s", diff)
			}
		}
	})
}

func containsServer(servers []*fleet.Server, s *fleet.Server) bool {
	for _, other := range servers {
		if other == s {
			return true
		}
	}
	return false
}
