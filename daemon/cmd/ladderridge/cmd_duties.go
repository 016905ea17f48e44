package main

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"ladderridge.example/core/duty"
	"ladderridge.example/core/usage"
	"ladderridge.example/daemon/duties"
	"ladderridge.example/daemon/gateway"
)

func dutiesCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "duties", Short: "Show the lease holder of each duty, its fencing token and its last report or order", Args: cobra.NoArgs}
	admins := adminFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		found, err := fetchDuties(cmd.Context(), *admins)
		if err != nil {
			return err
		}
		for _, s := range found {
			cmd.Println(formatDuty(s))
		}
		return nil
	}
	return cmd
}

// fetchDuties asks all daemons, as only those that read the store for others know the
// lease holder of a duty.
func fetchDuties(ctx context.Context, admins []string) ([]duties.Status, error) {
	known := map[duty.Name]duties.Status{}
	answered := false
	var lastErr error = usageError("no daemon answered: set their addresses with --admin or " + envAdmin)
	for _, addr := range admins {
		found, err := getJSON[[]duties.Status](ctx, addr, gateway.PathDuties)
		if err != nil {
			lastErr = err
			continue
		}
		answered = true
		for _, s := range found {
			if old, ok := known[s.Duty]; !ok || s.Token > old.Token || s.Held {
				known[s.Duty] = s
			}
		}
	}
	if !answered {
		return nil, lastErr
	}
	var out []duties.Status
	for _, s := range known {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b duties.Status) int { return strings.Compare(string(a.Duty), string(b.Duty)) })
	return out, nil
}

func formatDuty(s duties.Status) string {
	if s.Holder == "" {
		return fmt.Sprintf("  %-8s no lease holder is known: ask the daemons that read the store for their halls", s.Duty)
	}
	held := "is the last known lease holder"
	if s.Held {
		held = "holds the lease"
	}
	return fmt.Sprintf("  %-8s %s %s, token %d; %s", s.Duty, s.Holder, held, s.Token, formatState(s))
}

// formatState describes the state that the lease holder stored last.
func formatState(s duties.Status) string {
	if s.Duty != duty.Usage {
		return "ordered: " + formatOrders(s.State)
	}
	log, err := usage.DecodeReportLog(s.State)
	if err != nil {
		return err.Error()
	}
	last, ok := log.Last()
	if !ok {
		return "no window reported yet"
	}
	unconfirmed := 0
	for _, r := range log.Reports {
		if !r.Accepted {
			unconfirmed++
		}
	}
	return fmt.Sprintf("last window %d, next %d, %d not confirmed as accepted", last, last+1, unconfirmed)
}

// formatOrders lists the orders in a stored order log.
func formatOrders(state string) string {
	log, err := duties.DecodeOrders(state)
	if err != nil {
		return err.Error()
	}
	var out []string
	for _, o := range log.Orders {
		out = append(out, fmt.Sprintf("%s %s %s %d", o.Service, o.Hall, o.Kind, o.Count))
	}
	if len(out) == 0 {
		return "nothing"
	}
	return strings.Join(out, ", ")
}
