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
	cmd := &cobra.Command{Use: "keys", Short: "Create keys for daemons and organisations"}
	cmd.AddCommand(keysAuthority(), keysDaemon(), keysPin(), keysHash())
	return cmd
}

func keysAuthority() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use:   "authority",
		Short: "Create the authority that signs the daemons' certificates",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return keys.MakeAuthority(dir) },
	}
	cmd.Flags().StringVar(&dir, "dir", ".", "directory to write authority.pem and authority.key to")
	return cmd
}

func keysDaemon() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use:   "daemon ID",
		Short: "Create the certificate of the daemon with that ID",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return keys.MakeDaemon(dir, args[0]) },
	}
	cmd.Flags().StringVar(&dir, "dir", ".", "directory of authority.pem and authority.key, and of the new files")
	return cmd
}

func keysPin() *cobra.Command {
	return &cobra.Command{
		Use:   "pin",
		Short: "Create a key that seals session tokens",
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
		Short: "Read an organisation's key from standard input and print its hash for the table",
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
