// Command simadapter runs routers on the simulator's wire: batches of events on
// standard input, one reply a line on standard output.
package main

import (
	"fmt"
	"os"

	"marlstage/internal/simprotocol"
)

func main() {
	if err := simprotocol.NewHost().Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
