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
		halls, err := askAny[[]control.HallDump](cmd.Context(), *admins, admin.PathHalls)
		if err != nil {
			return err
		}
		for _, h := range halls {
			fmt.Println(showHall(h, h.OldestGeneration))
		}
		return nil
	}
	return cmd
}

// inForce reports whether every daemon of a hall has a generation in force.
func inForce(h control.HallDump, number uint64) bool {
	return !h.Stale && h.Members > 0 && h.Complete && h.OldestGeneration >= number
}

func showHall(h control.HallDump, number uint64) string {
	switch {
	case h.Servers != nil:
		return showServers(h.Name, *h.Servers)
	case h.Stale:
		return fmt.Sprintf("  %-16s unconfirmed: the data hall is silent", h.Name)
	case inForce(h, number) && h.Down > 0:
		return fmt.Sprintf("  %-16s in force on %d daemons (generation %d); %d listed ones do not answer and get it before they serve", h.Name, h.Members, h.OldestGeneration, h.Down)
	case inForce(h, number):
		return fmt.Sprintf("  %-16s in force on all %d daemons (generation %d)", h.Name, h.Members, h.OldestGeneration)
	default:
		return fmt.Sprintf("  %-16s unconfirmed: %d of %d daemons report, the oldest has generation %d", h.Name, h.Daemons, h.Members, h.OldestGeneration)
	}
}

// showServers says what a gateway knows of a data hall's servers.
func showServers(name string, s control.HallServers) string {
	if s.Drained {
		since := time.Duration(s.DrainedMS) * time.Millisecond
		return fmt.Sprintf("  %-16s emptied for %v: its %d servers get nothing; %d requests of this daemon are still under way there", name, since.Round(100*time.Millisecond), s.Servers, s.InFlight)
	}
	return fmt.Sprintf("  %-16s in use: %d servers, %d of them cold; %d requests of this daemon are under way there", name, s.Servers, s.Cold, s.InFlight)
}

// awaitEvery is the pause between two looks at the data halls.
const awaitEvery = 100 * time.Millisecond

// awaitForce waits until a generation is in force everywhere and says, in any
// case, where it is and where that is unconfirmed.
func awaitForce(ctx context.Context, admins []string, number uint64, wait time.Duration) error {
	begun := time.Now()
	for {
		halls, err := askAny[[]control.HallDump](ctx, admins, admin.PathHalls)
		if err != nil {
			return err
		}
		missing := 0
		for _, h := range halls {
			if !inForce(h, number) {
				missing++
			}
		}
		if missing > 0 && time.Since(begun) < wait {
			clock.Wait(ctx, awaitEvery)
			if err := ctx.Err(); err != nil {
				return err
			}
			continue
		}
		for _, h := range halls {
			fmt.Println(showHall(h, number))
		}
		if missing > 0 {
			fmt.Printf("generation %d is accepted but not confirmed everywhere: look again with `ladderridge halls`\n", number)
			return nil
		}
		fmt.Printf("in force everywhere, confirmed after %.1f s\n", time.Since(begun).Seconds())
		return nil
	}
}
