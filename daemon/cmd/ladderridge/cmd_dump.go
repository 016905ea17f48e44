package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"ladderridge.example/daemon/admin"
)

func dumpCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "dump", Short: "Print the complete state of daemons as JSON", Args: cobra.NoArgs}
	admins := adminFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if len(*admins) == 0 {
			return usageError("set the daemons' addresses with --admin or " + envAdmin)
		}
		for _, addr := range *admins {
			state, err := getJSON[json.RawMessage](cmd.Context(), addr, admin.PathDump)
			if err != nil {
				return err
			}
			if _, err := fmt.Fprintln(os.Stdout, string(state)); err != nil {
				return err
			}
		}
		return nil
	}
	return cmd
}
