package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"hatchproxy/lab/experiment"
	"hatchproxy/lab/fleet"
	"hatchproxy/lab/ledger"
)

func fleetCommand() *cobra.Command {
	var discovery string
	c := &cobra.Command{
		Use: "fleet [FILE]", Short: "Run only the simulated servers and their discovery service until interrupted, to try a proxy by hand",
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
			servers, err := fleet.Start(ledger.NewEventLog(), f.FleetConfig(), f.Seeds[0])
			if err != nil {
				return err
			}
			defer servers.Stop()
			discoveryServer, err := servers.StartDiscoveryAt(discovery)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d servers; discovery listens at %s\n", len(servers.Servers), discoveryServer.Address())
			<-c.Context().Done()
			return nil
		},
	}
	c.Flags().StringVar(&discovery, "discovery", "127.0.0.1:8500", "address of the discovery service")
	return c
}
