package main

import (
	"github.com/spf13/cobra"

	"hatchproxy/lab/clienttime"
)

func worthCommand() *cobra.Command {
	return &cobra.Command{
		Use: "worth FOLDER", Short: "Account for the clients' time in a run, from the debug logs (*.log) of all proxies in a folder",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			summary, err := clienttime.ReadLogs(args[0])
			if err != nil {
				return err
			}
			return summary.Write(c.OutOrStdout())
		},
	}
}
