// Command controller is a replica of the mesh's core.
package main

import (
	"log/slog"

	"ottershift/internal/mesh"
	"ottershift/internal/mesh/controller"
	"ottershift/internal/mesh/settings"
)

func main() {
	mesh.Main("controller", "A replica of the core: it stores the replicated state and publishes updates.", func(b *settings.Settings, log *slog.Logger) (mesh.Process, error) {
		return controller.Open(b, log)
	})
}
