// Command beekeeper is the operators' command line of a mesh.
package main

import (
	"os"

	"ottershift/internal/hive/keeper"
)

func main() { os.Exit(keeper.Run(os.Args[1:], os.Stdout, os.Stderr)) }
