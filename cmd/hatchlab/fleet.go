package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"hatchproxy/lab/experiment"
	"hatchproxy/lab/fleet"
	"hatchproxy/lab/ledger"
)

func fleetCommand() *cobra.Command {
	var list string
	c := &cobra.Command{
		Use: "fleet [FILE]", Short: "Only the stand-in fleet and its discovery, to try a proxy by hand, until it is interrupted",
		Example: "  hatchlab fleet --discovery 127.0.0.1:8500 &\n  bin/hatchproxy serve --config examples/config.json",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := experiment.Parse("demo.toml", demoExperiment)
			if len(args) == 1 {
				f, err = experiment.Read(args[0])
			}
			if err != nil {
				return err
			}
			servers, err := fleet.Start(ledger.Open(), f.Plan(), f.Seeds[0])
			if err != nil {
				return err
			}
			defer servers.Stop()
			front, err := servers.FrontAt(list)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d servers; the list is had at %s\n", len(servers.Servers), front.Address())
			<-c.Context().Done()
			return nil
		},
	}
	c.Flags().StringVar(&list, "discovery", "127.0.0.1:8500", "where the list is had")
	return c
}
