package main

import (
	"github.com/spf13/cobra"

	"hatchproxy/lab/clienttime"
)

func worthCommand() *cobra.Command {
	return &cobra.Command{
		Use: "worth FOLDER", Short: "Where clients' seconds went, from the logs of all proxies at the level debug",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			account, err := clienttime.ReadLogs(args[0])
			if err != nil {
				return err
			}
			return account.Write(c.OutOrStdout())
		},
	}
}
