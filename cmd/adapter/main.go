// Command adapter runs balancers for the bench: it reads frames from standard input and writes replies to standard output.
package main

import (
	"fmt"
	"os"

	"ottershift/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
