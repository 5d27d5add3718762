// Command comb is a process of the mesh's core.
package main

import (
	"log/slog"

	"ottershift/internal/hive"
	"ottershift/internal/hive/box"
	"ottershift/internal/hive/comb"
)

func main() {
	hive.Main("comb", "A process of the core: it keeps what is agreed and gives news.", func(b *box.Box, log *slog.Logger) (hive.Process, error) {
		return comb.Open(b, log)
	})
}
