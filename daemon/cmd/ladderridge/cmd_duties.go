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
	cmd := &cobra.Command{Use: "duties", Short: "Show who does what one gateway does for all, by which token, and what was told last", Args: cobra.NoArgs}
	admins := adminFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		found, err := askDuties(cmd.Context(), *admins)
		if err != nil {
			return err
		}
		for _, s := range found {
			cmd.Println(showDuty(s))
		}
		return nil
	}
	return cmd
}

// askDuties asks all daemons: only those that read the store for others know who holds a duty.
func askDuties(ctx context.Context, admins []string) ([]duties.Status, error) {
	known := map[duty.Name]duties.Status{}
	answered := false
	var last error = usageError("no daemon answered: name some with --admin or " + envAdmin)
	for _, addr := range admins {
		found, err := ask[[]duties.Status](ctx, addr, gateway.PathDuties)
		if err != nil {
			last = err
			continue
		}
		answered = true
		for _, s := range found {
			if was, ok := known[s.Duty]; !ok || s.Token > was.Token || s.Held {
				known[s.Duty] = s
			}
		}
	}
	if !answered {
		return nil, last
	}
	var out []duties.Status
	for _, s := range known {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b duties.Status) int { return strings.Compare(string(a.Duty), string(b.Duty)) })
	return out, nil
}

func showDuty(s duties.Status) string {
	if s.Holder == "" {
		return fmt.Sprintf("  %-8s nobody is known to hold it: ask the daemons that read for their halls", s.Duty)
	}
	held := "was the last to hold it as far as is known"
	if s.Held {
		held = "holds it"
	}
	return fmt.Sprintf("  %-8s %s %s, token %d; %s", s.Duty, s.Holder, held, s.Token, showState(s))
}

// showState says what a holder has told last.
func showState(s duties.Status) string {
	if s.Duty != duty.Usage {
		return "ordered: " + showOrders(s.State)
	}
	book, err := usage.DecodeReportLog(s.State)
	if err != nil {
		return err.Error()
	}
	last, ok := book.Last()
	if !ok {
		return "no window is reported yet"
	}
	waiting := 0
	for _, r := range book.Reports {
		if !r.Accepted {
			waiting++
		}
	}
	return fmt.Sprintf("last window %d, next %d, %d not yet known to be taken", last, last+1, waiting)
}

// showOrders says what stands in the row of orders.
func showOrders(state string) string {
	book, err := duties.DecodeOrders(state)
	if err != nil {
		return err.Error()
	}
	var out []string
	for _, o := range book.Orders {
		out = append(out, fmt.Sprintf("%s %s %s %d", o.Service, o.Hall, o.Kind, o.Count))
	}
	if len(out) == 0 {
		return "nothing"
	}
	return strings.Join(out, ", ")
}
