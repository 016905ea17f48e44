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

// billPageSize is the number of bills in one page of a listing.
const billPageSize = 1000

// billSum is the total of several bills.
type billSum struct {
	requests int
	tokens   int64
	cost     int64
}

// billKey is the key that bills are grouped by.
type billKey struct {
	organisation string
	item         string
}

func billsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "bills", Short: "Sum the bills stored on the platform by organisation and version", Args: cobra.NoArgs}
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
		printBills(sums)
		return nil
	}
	return cmd
}

func sumBills(ctx context.Context, client *platform.Client) (map[billKey]billSum, error) {
	sums := map[billKey]billSum{}
	after := ""
	for {
		entries, err := client.List(ctx, control.BillPrefix, after, billPageSize)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			var b bill.Bill
			if err := json.Unmarshal(e.Value, &b); err != nil {
				return nil, err
			}
			key := billKey{organisation: b.Organisation, item: b.Model}
			if b.Version != "" {
				key.item += "@" + b.Version
			}
			s := sums[key]
			sums[key] = billSum{requests: s.requests + 1, tokens: s.tokens + b.Tokens, cost: s.cost + b.Cost}
			after = e.Key
		}
		if len(entries) < billPageSize {
			return sums, nil
		}
	}
}

func printBills(sums map[billKey]billSum) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "ORGANISATION\tBILLED FOR\tREQUESTS\tTOKENS\tCOST")
	total := billSum{}
	keys := slices.SortedFunc(maps.Keys(sums), func(a, b billKey) int {
		if a.organisation != b.organisation {
			return strings.Compare(a.organisation, b.organisation)
		}
		return strings.Compare(a.item, b.item)
	})
	for _, k := range keys {
		s := sums[k]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", k.organisation, k.item, s.requests, s.tokens, s.cost)
		total = billSum{requests: total.requests + s.requests, tokens: total.tokens + s.tokens, cost: total.cost + s.cost}
	}
	fmt.Fprintf(w, "all\t\t%d\t%d\t%d\n", total.requests, total.tokens, total.cost)
}
