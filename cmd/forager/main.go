// Command forager is the mesh's balancer: one beside each upstream.
package main

import (
	"log/slog"

	"ottershift/internal/hive"
	"ottershift/internal/hive/box"
	"ottershift/internal/hive/flight"
)

func main() {
	hive.Main("forager", "The balancer beside an upstream.", func(b *box.Box, log *slog.Logger) (hive.Process, error) {
		return flight.New(b, log), nil
	})
}
