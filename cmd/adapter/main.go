// Command adapter runs balancers on the bench's wire: frames in on standard input, replies out on standard
// output.
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
