package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"ladderridge.example/core/table"
	"ladderridge.example/daemon/keys"
)

// pinKeySize is the size of a key for session tokens, in bytes.
const pinKeySize = 32

func keysCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "keys", Short: "Make the keys that daemons and organisations need"}
	cmd.AddCommand(keysAuthority(), keysDaemon(), keysPin(), keysHash())
	return cmd
}

func keysAuthority() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use:   "authority",
		Short: "Make the authority that signs daemons' certificates",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return keys.MakeAuthority(dir) },
	}
	cmd.Flags().StringVar(&dir, "dir", ".", "where to write authority.pem and authority.key")
	return cmd
}

func keysDaemon() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use:   "daemon ID",
		Short: "Make the certificate of the daemon with that id",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return keys.MakeDaemon(dir, args[0]) },
	}
	cmd.Flags().StringVar(&dir, "dir", ".", "where authority.pem and authority.key are, and the new files go")
	return cmd
}

func keysPin() *cobra.Command {
	return &cobra.Command{
		Use:   "pin",
		Short: "Make a key that seals session tokens",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			key := make([]byte, pinKeySize)
			if _, err := rand.Read(key); err != nil {
				return err
			}
			fmt.Println(hex.EncodeToString(key))
			return nil
		},
	}
}

func keysHash() *cobra.Command {
	return &cobra.Command{
		Use:   "hash",
		Short: "Read an organisation's key from standard input and write its hash for the table",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			key, err := bufio.NewReader(os.Stdin).ReadString('\n')
			key = strings.TrimSpace(key)
			if key == "" {
				return usageError(fmt.Sprintf("write the key to standard input: %v", err))
			}
			fmt.Println(table.HashKey(key))
			return nil
		},
	}
}
