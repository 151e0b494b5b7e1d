// Command simadapter runs routers under the simulator. It reads batches of
// events from standard input, one batch per line, and answers each with one
// line of decisions on standard output.
package main

import (
	"fmt"
	"os"

	"marlstage/internal/simprotocol"
)

func main() {
	if err := simprotocol.NewAdapter().Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
