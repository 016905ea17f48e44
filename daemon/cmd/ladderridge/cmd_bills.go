package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"ladderridge.example/core/bill"
	"ladderridge.example/daemon/control"
	"ladderridge.example/daemon/platform"
)

// billPage is how many bills are read at once.
const billPage = 1000

// billSum adds up bills.
type billSum struct {
	requests int
	tokens   int64
	cost     int64
}

// billLine names what bills are added up by.
type billLine struct {
	organisation string
	what         string
}

func billsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "bills", Short: "Add up the bills that the platform has, by organisation and version", Args: cobra.NoArgs}
	url := platformFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		store, err := openStore(*url)
		if err != nil {
			return err
		}
		sums, err := sumBills(cmd.Context(), store.Platform)
		if err != nil {
			return err
		}
		showBills(sums)
		return nil
	}
	return cmd
}

func sumBills(ctx context.Context, client *platform.Client) (map[billLine]billSum, error) {
	sums := map[billLine]billSum{}
	after := ""
	for {
		entries, err := client.List(ctx, control.BillPrefix, after, billPage)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			var b bill.Bill
			if err := json.Unmarshal(e.Value, &b); err != nil {
				return nil, err
			}
			key := billLine{organisation: b.Organisation, what: b.Model}
			if b.Version != "" {
				key.what += "@" + b.Version
			}
			s := sums[key]
			sums[key] = billSum{requests: s.requests + 1, tokens: s.tokens + b.Tokens, cost: s.cost + b.Cost}
			after = e.Key
		}
		if len(entries) < billPage {
			return sums, nil
		}
	}
}

func showBills(sums map[billLine]billSum) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "ORGANISATION\tBILLED FOR\tREQUESTS\tTOKENS\tCOST")
	total := billSum{}
	lines := slices.SortedFunc(maps.Keys(sums), func(a, b billLine) int {
		if a.organisation != b.organisation {
			return strings.Compare(a.organisation, b.organisation)
		}
		return strings.Compare(a.what, b.what)
	})
	for _, l := range lines {
		s := sums[l]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", l.organisation, l.what, s.requests, s.tokens, s.cost)
		total = billSum{requests: total.requests + s.requests, tokens: total.tokens + s.tokens, cost: total.cost + s.cost}
	}
	fmt.Fprintf(w, "all\t\t%d\t%d\t%d\n", total.requests, total.tokens, total.cost)
}
