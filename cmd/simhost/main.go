// Command simhost runs the decisions on the simulator's wire: batches on standard input, replies on standard
// output, until the input ends.
package main

import (
	"fmt"
	"os"

	"hatchproxy/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
