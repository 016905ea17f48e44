// Ladderridge is the operators' tool: it edits the table, shows decisions and
// the state of daemons, makes keys, and runs the stand-ins.
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
		Short:         "Edit the table and watch what the daemons decide",
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
