package main

import (
	"fmt"
	"net/url"

	"github.com/spf13/cobra"

	"ladderridge.example/daemon/admin"
	"ladderridge.example/daemon/record"
)

func explainCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "explain REQUEST", Short: "Show step by step how a request was routed", Args: cobra.ExactArgs(1)}
	admins := adminFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		path := admin.PathExplain + "?request=" + url.QueryEscape(args[0])
		rec, err := getJSONFromAny[record.Record](cmd.Context(), *admins, path)
		if err != nil {
			return err
		}
		fmt.Print(formatExplanation(rec))
		return nil
	}
	return cmd
}

// formatExplanation formats a record with all its steps.
func formatExplanation(r record.Record) string {
	out := formatLine(r) + "\n"
	out += fmt.Sprintf("  on %s in %s, table generation %d\n", r.Daemon, r.Hall, r.Generation)
	for i, s := range r.Steps {
		out += fmt.Sprintf("  %2d. %s\n", i+1, s)
	}
	return out
}
