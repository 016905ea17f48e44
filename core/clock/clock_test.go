package clock_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ladderridge.example/core/clock"
)

// Many goroutines of a bubble wait for timers that expire at the same time: with channel timers
// and the race detector the runtime crashes here with SIGSEGV.
func TestConcurrentWaitsThatExpireTogether(t *testing.T) {
	const waiters, rounds = 64, 500
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		for range waiters {
			wg.Go(func() {
				for range rounds {
					<-clock.After(0)
					expired := clock.After(time.Millisecond)
					time.Sleep(2 * time.Millisecond)
					<-expired
					clock.Wait(t.Context(), -1)
				}
			})
		}
		wg.Wait()
	})
}

func TestWaitEndsAfterDurationOrWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		clock.Wait(t.Context(), time.Second)
		if took := time.Since(begun); took != time.Second {
			t.Errorf("a wait of one second took %v", took)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		clock.Wait(ctx, time.Hour)
		if took := time.Since(begun); took != 2*time.Second {
			t.Errorf("a wait with a context of one second ended after %v in total", took)
		}
	})
}

func TestTickerTicksUntilStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tick := clock.NewTicker(time.Second)
		begun := time.Now()
		for i := range 3 {
			<-tick.C
			if took := time.Since(begun); took != time.Duration(i+1)*time.Second {
				t.Errorf("tick %d came after %v", i+1, took)
			}
		}
		// Of the ticks that are not received only one is kept.
		time.Sleep(5500 * time.Millisecond)
		<-tick.C
		select {
		case <-tick.C:
			t.Error("a second tick was kept")
		default:
		}
		tick.Stop()
		time.Sleep(5 * time.Second)
		select {
		case <-tick.C:
			t.Error("a tick after Stop")
		default:
		}
	})
}
