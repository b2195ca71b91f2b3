// Command simhost runs the balancer for the simulator. It reads batches in the simulator's binary protocol from standard
// input and writes the replies to standard output, until the input ends.
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
