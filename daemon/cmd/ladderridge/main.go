// Ladderridge is the operators' command-line tool. It edits the table, shows
// decisions and the state of daemons, creates keys, and runs stand-ins for tests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// version is set by the build from version.txt.
var version = "unknown"

func main() { os.Exit(run()) }

func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	root := &cobra.Command{
		Use:           "ladderridge",
		Short:         "Edit the table and watch the daemons' decisions",
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(tableCommand(), watchCommand(), explainCommand(), dumpCommand(), hallsCommand(), dutiesCommand(),
		keysCommand(), traceCommand(), replayCommand(), standinCommand(), loadCommand(), billsCommand(), callCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "ladderridge:", err)
		return 1
	}
	return 0
}
