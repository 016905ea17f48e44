package main

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ladderridge.example/core/fault"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/platform"
	"ladderridge.example/daemon/tablestore"
)

func tableCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "table", Short: "Show, check and edit the table"}
	url := platformFlag(cmd)
	cmd.AddCommand(tableShow(url), tableExport(url), tableDiff(url), tableCheck(), tableApply(url), tableHistory(url))
	return cmd
}

func tableShow(url *string) *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Show the newest table in readable form",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			t, h, err := loadNewest(cmd.Context(), *url)
			if err != nil {
				return err
			}
			fmt.Printf("generation %d by %s at %s\n", h.Number, h.Author, h.At.Format(time.RFC3339))
			printTable(t)
			return nil
		},
	}
}

func printTable(t *table.Table) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "\nVERSION\tSTATUS\tPRICE\tQUALITY\tSTAGE")
	for _, v := range t.Versions {
		stage := ""
		if v.Status == table.RollingOut {
			stage = fmt.Sprintf("%d of %v %%", v.Stage, v.Stages)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%g\t%s\n", v.Ref, v.Status, v.Price, v.Quality, stage)
	}
	fmt.Fprintln(w, "\nORGANISATION\tMAY USE\tSTATUS\tWEIGHT\tTARGET")
	for _, a := range t.Allows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%g\n", a.Organisation, a.Ref, a.Status, a.Weight, a.Target)
	}
	fmt.Fprintln(w, "\nORGANISATION\tMAY CALL\tREPEAT")
	for _, c := range t.CallRules {
		repeat := "yes"
		if c.Once {
			repeat = "once"
		}
		fmt.Fprintf(w, "%s\t%s %s%s\t%s\n", c.Organisation, c.Method, c.Service, c.Path, repeat)
	}
}

func loadNewest(ctx context.Context, url string) (*table.Table, tablestore.Head, error) {
	store, err := openStore(url)
	if err != nil {
		return nil, tablestore.Head{}, err
	}
	return store.Load(ctx)
}

func tableExport(url *string) *cobra.Command {
	var generation uint64
	cmd := &cobra.Command{
		Use:   "export",
		Short: "Write a table as CSV to standard output for editing",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			store, err := openStore(*url)
			if err != nil {
				return err
			}
			h, _, err := store.Newest(cmd.Context())
			if err == nil && generation > 0 {
				h, err = store.Generation(cmd.Context(), generation)
			}
			if err != nil {
				return err
			}
			data, err := store.File(cmd.Context(), h)
			if err != nil {
				return err
			}
			fmt.Fprintf(os.Stderr, "generation %d: apply your edit with `ladderridge table apply --from %d FILE`\n", h.Number, h.Number)
			_, err = os.Stdout.Write(data)
			return err
		},
	}
	cmd.Flags().Uint64Var(&generation, "generation", 0, "generation to export instead of the newest")
	return cmd
}

func readTable(path string) (*table.Table, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return table.Parse(data)
}

func tableCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a table file and list all of its errors",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			t, err := readTable(args[0])
			if err != nil {
				return err
			}
			fmt.Printf("%s is valid: %d organisations, %d versions, %d allow rows, %d call rows\n",
				args[0], len(t.Organisations), len(t.Versions), len(t.Allows), len(t.CallRules))
			return nil
		},
	}
}

func tableDiff(url *string) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show what applying a file would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			edited, err := readTable(args[0])
			if err != nil {
				return err
			}
			newest, h, err := loadNewest(cmd.Context(), *url)
			if err != nil {
				return err
			}
			fmt.Printf("against generation %d:\n", h.Number)
			printChanges(newest, edited)
			return nil
		},
	}
}

func printChanges(from, to *table.Table) {
	changes := table.Diff(from, to)
	for _, c := range changes {
		fmt.Println("  " + c.String())
	}
	if len(changes) == 0 {
		fmt.Println("  no differences")
	}
}

// edit holds the options of `table apply`.
type edit struct {
	from   uint64
	note   string
	wait   time.Duration
	admins *[]string
}

func tableApply(url *string) *cobra.Command {
	var e edit
	cmd := &cobra.Command{
		Use:   "apply --from GENERATION FILE",
		Short: "Store a file as the next generation and show in which data halls it is in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			store, err := openStore(*url)
			if err != nil {
				return err
			}
			return e.apply(cmd.Context(), store, args[0])
		},
	}
	cmd.Flags().Uint64Var(&e.from, "from", 0, "the generation that the edit was made from; 0 for the first")
	cmd.Flags().StringVar(&e.note, "note", "", "reason for the change, for the history")
	cmd.Flags().DurationVar(&e.wait, "wait", 10*time.Second, "maximum time to wait for the data halls")
	e.admins = adminFlag(cmd)
	return cmd
}

func (e edit) apply(ctx context.Context, store *tablestore.Store, path string) error {
	t, err := readTable(path)
	if err != nil {
		return err
	}
	h, err := store.Apply(ctx, tablestore.Edit{From: e.from, Table: t, Author: author(), Note: e.note, At: time.Now().UTC()})
	if fault.Is(err, tablestore.Stale) {
		return e.conflict(ctx, store, t, h, err)
	}
	if err != nil {
		return err
	}
	fmt.Printf("accepted as generation %d\n", h.Number)
	if len(*e.admins) == 0 {
		fmt.Println("set a daemon's address with --admin to see where it is in force")
		return nil
	}
	return awaitInForce(ctx, *e.admins, h.Number, e.wait)
}

// conflict handles an edit whose base generation is no longer the newest: it prints
// what others changed meanwhile and what this edit would change.
func (e edit) conflict(ctx context.Context, store *tablestore.Store, mine *table.Table, newest tablestore.Head, cause error) error {
	fmt.Fprintf(os.Stderr, "nothing was changed: %v\n", cause)
	base, err := loadGeneration(ctx, store, e.from)
	if err != nil {
		return err
	}
	theirs, err := loadGeneration(ctx, store, newest.Number)
	if err != nil {
		return err
	}
	fmt.Printf("since generation %d, %s changed:\n", e.from, newest.Author)
	printChanges(base, theirs)
	fmt.Println("your file would change:")
	printChanges(base, mine)
	return usageError(fmt.Sprintf("export generation %d, make your edit again and apply it with --from %d", newest.Number, newest.Number))
}

func loadGeneration(ctx context.Context, store *tablestore.Store, number uint64) (*table.Table, error) {
	if number == 0 {
		return table.New(table.Table{}), nil
	}
	h, err := store.Generation(ctx, number)
	if err != nil {
		return nil, err
	}
	data, err := store.File(ctx, h)
	if err != nil {
		return nil, err
	}
	return table.Parse(data)
}

func author() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

func tableHistory(url *string) *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List the generations, newest first",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			store, err := openStore(*url)
			if err != nil {
				return err
			}
			newest, _, err := store.Newest(cmd.Context())
			if err != nil {
				return err
			}
			for n := newest.Number; n > 0 && limit > 0; n-- {
				h, err := store.Generation(cmd.Context(), n)
				if fault.Is(err, platform.NotFound) {
					break
				}
				if err != nil {
					return err
				}
				fmt.Printf("%6s  %s  %-16s %s\n", strconv.FormatUint(h.Number, 10), h.At.Format(time.RFC3339), h.Author, h.Note)
				limit--
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&limit, "limit", 20, "number of generations to list")
	return cmd
}
