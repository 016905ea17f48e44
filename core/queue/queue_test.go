package queue_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ladderridge.example/core/fixedseed"
	"ladderridge.example/core/queue"
)

var start = time.Unix(1_800_000_000, 0)

func item(id string, class queue.Class) queue.Item {
	return queue.Item{ID: id, Organisation: "o-" + id, Class: class, Deadline: start.Add(time.Hour)}
}

func order(q *queue.Queue) []string {
	var out []string
	for {
		it, _, ok := q.Pop(start)
		if !ok {
			return out
		}
		out = append(out, it.ID)
	}
}

func TestUrgentFirstBackgroundLast(t *testing.T) {
	q := queue.New()
	q.Push(item("audit", queue.Background), start)
	q.Push(item("chat", queue.Normal), start)
	q.Push(item("checkout", queue.Urgent), start)
	q.Push(item("chat2", queue.Normal), start)
	want := []string{"checkout", "chat", "chat2", "audit"}
	if got := order(q); !slices.Equal(got, want) {
		t.Errorf("served in order %v, want %v", got, want)
	}
}

func TestFairnessBetweenOrganisations(t *testing.T) {
	q := queue.New()
	for i := range 3 {
		q.Push(queue.Item{ID: fmt.Sprint("large", i), Organisation: "large", Class: queue.Normal, Deadline: start.Add(time.Hour)}, start)
	}
	q.Push(queue.Item{ID: "small0", Organisation: "small", Class: queue.Normal, Deadline: start.Add(time.Hour)}, start)
	want := []string{"large0", "small0", "large1", "large2"}
	if got := order(q); !slices.Equal(got, want) {
		t.Errorf("served in order %v, want %v", got, want)
	}
}

func TestRequestThatWouldMissItsDeadlineIsRefused(t *testing.T) {
	q := queue.New()
	for i := range 100 {
		q.Served(100*time.Millisecond, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	now := start.Add(10 * time.Second)
	for i := range 20 {
		it := item(fmt.Sprint(i), queue.Normal)
		it.Deadline = now.Add(10 * time.Second)
		if _, ok := q.Push(it, now).(queue.Queued); !ok {
			t.Fatalf("request %d was refused 10 s before its deadline", i)
		}
	}
	late := item("late", queue.Normal)
	late.Deadline = now.Add(2 * time.Second)
	v, ok := q.Push(late, now).(queue.Refused)
	if !ok || v.RetryAfter < time.Second || v.RetryAfter > 4*time.Second {
		t.Errorf("20 requests queued at about 10 per second, 2 s to the deadline: %+v, want a refusal with a retry-after time of about 2 s", v)
	}
}

func TestExpiredRequestsAreNotServed(t *testing.T) {
	q := queue.New()
	q.Served(2*time.Second, start)
	for _, id := range []string{"late", "in time"} {
		it := item(id, queue.Normal)
		it.Deadline = start.Add(10 * time.Second)
		if id == "late" {
			it.Deadline = start.Add(5 * time.Second)
		}
		q.Push(it, start)
	}
	it, late, ok := q.Pop(start.Add(4 * time.Second))
	if !ok || it.ID != "in time" || len(late) != 1 || late[0].Item.ID != "late" || late[0].RetryAfter <= 0 {
		t.Errorf("served %+v, refused %+v", it, late)
	}
}

// TestQueueAgainstOracle runs random operations against a reference model: no request is lost
// or served twice, the queue stays within MaxItems, and no request is served before one of a
// higher class.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New()
		waiting := map[string]queue.Item{}
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				for range rapid.IntRange(1, 80).Draw(t, "n") {
					n++
					it := queue.Item{
						ID: fmt.Sprint(n), Organisation: rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "organisation"),
						Class: queue.Class(rapid.IntRange(0, 2).Draw(t, "class")), Deadline: start.Add(24 * time.Hour),
					}
					if v, ok := q.Push(it, start).(queue.Queued); ok {
						waiting[it.ID] = it
						if v.Shed != nil {
							if _, there := waiting[v.Shed.ID]; !there || v.Shed.Class >= it.Class {
								t.Fatalf("%+v was shed for %+v", *v.Shed, it)
							}
							delete(waiting, v.Shed.ID)
						}
					}
				}
			},
			"pop": func(t *rapid.T) {
				it, _, ok := q.Pop(start)
				if !ok {
					return
				}
				if _, there := waiting[it.ID]; !there {
					t.Fatalf("%s was served but is not queued", it.ID)
				}
				for _, other := range waiting {
					if other.Class > it.Class {
						t.Fatalf("%+v was served before %+v", it, other)
					}
				}
				delete(waiting, it.ID)
			},
			"remove": func(t *rapid.T) {
				for id := range waiting {
					q.Remove(id)
					delete(waiting, id)
					return
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) || q.Len() > queue.MaxItems {
					t.Fatalf("%d requests are queued, the model has %d", q.Len(), len(waiting))
				}
			},
		})
	})
}
