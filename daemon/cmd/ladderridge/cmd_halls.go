package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ladderridge.example/core/clock"
	"ladderridge.example/daemon/admin"
	"ladderridge.example/daemon/control"
)

func splitList(s string) []string { return strings.Split(s, ",") }

func hallsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "halls", Short: "Show each data hall: the table generation in force, or a gateway's servers there", Args: cobra.NoArgs}
	admins := adminFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		halls, err := getJSONFromAny[[]control.HallDump](cmd.Context(), *admins, admin.PathHalls)
		if err != nil {
			return err
		}
		for _, h := range halls {
			fmt.Println(formatHall(h, h.OldestGeneration))
		}
		return nil
	}
	return cmd
}

// inForce reports whether a generation is in force on every daemon of a data hall.
func inForce(h control.HallDump, number uint64) bool {
	return !h.Stale && h.Members > 0 && h.Complete && h.OldestGeneration >= number
}

func formatHall(h control.HallDump, number uint64) string {
	switch {
	case h.Servers != nil:
		return formatServers(h.Name, *h.Servers)
	case h.Stale:
		return fmt.Sprintf("  %-16s unconfirmed: no report from the data hall", h.Name)
	case inForce(h, number) && h.Down > 0:
		return fmt.Sprintf("  %-16s in force on %d daemons (generation %d); %d listed daemons do not answer and receive it before they serve", h.Name, h.Members, h.OldestGeneration, h.Down)
	case inForce(h, number):
		return fmt.Sprintf("  %-16s in force on all %d daemons (generation %d)", h.Name, h.Members, h.OldestGeneration)
	default:
		return fmt.Sprintf("  %-16s unconfirmed: %d of %d daemons report, the oldest has generation %d", h.Name, h.Daemons, h.Members, h.OldestGeneration)
	}
}

// formatServers describes the servers of a data hall as a gateway sees them.
func formatServers(name string, s control.HallServers) string {
	if s.Drained {
		since := time.Duration(s.DrainedMS) * time.Millisecond
		return fmt.Sprintf("  %-16s drained for %v: its %d servers get no requests; %d requests of this daemon are still in flight there", name, since.Round(100*time.Millisecond), s.Servers, s.InFlight)
	}
	return fmt.Sprintf("  %-16s in use: %d servers, %d of them cold; %d requests of this daemon are in flight there", name, s.Servers, s.Cold, s.InFlight)
}

// pollInterval is the interval at which the state of the data halls is polled.
const pollInterval = 100 * time.Millisecond

// awaitInForce waits until a generation is in force everywhere, for at most wait. It
// then prints for each data hall whether the generation is in force or unconfirmed.
func awaitInForce(ctx context.Context, admins []string, number uint64, wait time.Duration) error {
	start := time.Now()
	for {
		halls, err := getJSONFromAny[[]control.HallDump](ctx, admins, admin.PathHalls)
		if err != nil {
			return err
		}
		unconfirmed := 0
		for _, h := range halls {
			if !inForce(h, number) {
				unconfirmed++
			}
		}
		if unconfirmed > 0 && time.Since(start) < wait {
			clock.Wait(ctx, pollInterval)
			if err := ctx.Err(); err != nil {
				return err
			}
			continue
		}
		for _, h := range halls {
			fmt.Println(formatHall(h, number))
		}
		if unconfirmed > 0 {
			fmt.Printf("generation %d is accepted but not confirmed everywhere: check again with `ladderridge halls`\n", number)
			return nil
		}
		fmt.Printf("in force everywhere, confirmed after %.1f s\n", time.Since(start).Seconds())
		return nil
	}
}
