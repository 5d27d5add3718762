// Command meshctl is the operator's command line for a mesh.
package main

import (
	"os"

	"ottershift/internal/mesh/meshctl"
)

func main() { os.Exit(meshctl.Run(os.Args[1:], os.Stdout, os.Stderr)) }
