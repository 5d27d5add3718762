// Command controller is a process of the mesh's core.
package main

import (
	"log/slog"

	"ottershift/internal/mesh"
	"ottershift/internal/mesh/controller"
	"ottershift/internal/mesh/settings"
)

func main() {
	mesh.Main("controller", "A process of the core: it keeps what is agreed and gives news.", func(b *settings.Settings, log *slog.Logger) (mesh.Process, error) {
		return controller.Open(b, log)
	})
}
