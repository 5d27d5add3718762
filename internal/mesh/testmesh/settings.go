package testmesh

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"ottershift/internal/mesh/settings"
)

// Write writes the settings file of one process, as the platform lays it.
func Write(b *settings.Settings, path string) error {
	var t strings.Builder
	line := func(key string, value any) {
		if text := fmt.Sprint(value); text != "" {
			fmt.Fprintf(&t, "%s=%s\n", key, text)
		}
	}
	line("Self.Node", b.Node)
	line("Self.Ip", b.Ip)
	line("Self.District", b.District)
	line("Self.FirstStart", b.FirstStart)
	line("Self.DataDir", b.DataDir)
	line("Self.App", b.App)
	line("Self.Destination", b.Destination)
	line("Self.SizeLimits.MemoryMb", b.MemoryMb)
	line("Network.Counters.Inbound", b.Inbound)
	line("Network.Counters.Outbound", b.Outbound)
	line("Network.Counters.Ready", b.Ready)
	line("Network.Counters.Control", b.Control)
	line("Network.InnerPorts", fmt.Sprintf("%d,%d", b.InnerFirst, b.InnerLast))
	line("Network.SeedOffices", strings.Join(b.Seeds, ","))
	for _, zone := range slices.Sorted(maps.Keys(b.Districts)) {
		line("Network.Districts."+zone, b.Districts[zone])
	}
	line("Carrier.Beat", span(b.Beat))
	line("Tariff.Tolerate.Machines", b.Tolerate.Machines)
	line("Tariff.Bounds.Grace", span(b.Bounds.Grace))
	line("Tariff.Bounds.Drain", span(b.Bounds.Drain))
	return os.WriteFile(path, []byte(t.String()), 0o644)
}

func span(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
