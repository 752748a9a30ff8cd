// Command simadapter connects balancers to a simulator: it reads the simulator's events from standard input, applies
// them to the balancer of the instance that they name, and writes the balancer's updates to standard output. It owns
// the instances and the order of the events of a batch. Package internal/simwire owns the format of messages, and
// package routing makes all decisions.
package main

import (
	"fmt"
	"io"
	"os"

	"barleysail/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run processes a simulation from its first event to the end of the input.
func run(in io.Reader, out io.Writer) error {
	simulation := &adapter{
		reader:    simwire.NewReader(in),
		writer:    simwire.NewWriter(out),
		instances: map[int]*controllerInstance{},
	}
	return simulation.run()
}
