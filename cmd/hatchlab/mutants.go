package main

import (
	"fmt"
	"path/filepath"

	"github.com/spf13/cobra"

	"hatchproxy/lab/mutants"
)

// mutantsCommand returns the command mutants.
func mutantsCommand() *cobra.Command {
	var folder string
	cmd := &cobra.Command{
		Use: "mutants", Short: "Build proxies in which one mended fault each is back", Args: cobra.NoArgs,
		Long: `mutants builds a proxy for each mended fault that has a mutant, from the module in the present folder. A check that is worth
its time convicts them, for example 'hatchlab soak --proxy FOLDER/turned-away-watch' or 'hatchlab hostile --program ...'.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			root, err := filepath.Abs(".")
			if err != nil {
				return err
			}
			for _, mutant := range mutants.Mutants {
				program := filepath.Join(folder, mutant.Name)
				if err := mutant.Build(cmd.Context(), root, program); err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s\tdocs/incidents/%s\n", program, mutant.Fault)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&folder, "into", "bin/mutants", "the folder for the programs")
	return cmd
}
