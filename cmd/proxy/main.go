// Command proxy is the mesh's balancer, which runs beside each upstream.
package main

import (
	"log/slog"

	"ottershift/internal/mesh"
	"ottershift/internal/mesh/proxy"
	"ottershift/internal/mesh/settings"
)

func main() {
	mesh.Main("proxy", "The balancer beside an upstream.", func(b *settings.Settings, log *slog.Logger) (mesh.Process, error) {
		return proxy.New(b, log), nil
	})
}
