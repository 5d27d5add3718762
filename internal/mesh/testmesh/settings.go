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
	line("Self.Ip", b.IP)
	line("Self.District", b.Zone)
	line("Self.FirstStart", b.FirstStart)
	line("Self.DataDir", b.DataDir)
	line("Self.App", b.UpstreamAddress)
	line("Self.Destination", b.Service)
	line("Self.SizeLimits.MemoryMb", b.MemoryMB)
	line("Network.Counters.Inbound", b.InboundAddress)
	line("Network.Counters.Outbound", b.OutboundAddress)
	line("Network.Counters.Ready", b.ReadinessAddress)
	line("Network.Counters.Control", b.ControlAddress)
	line("Network.InnerPorts", fmt.Sprintf("%d,%d", b.FirstInternalPort, b.LastInternalPort))
	line("Network.SeedOffices", strings.Join(b.Seeds, ","))
	for _, zone := range slices.Sorted(maps.Keys(b.RegionOfZone)) {
		line("Network.Districts."+zone, b.RegionOfZone[zone])
	}
	line("Carrier.Beat", span(b.HeartbeatInterval))
	line("Tariff.Tolerate.Machines", b.Tolerate.Machines)
	line("Tariff.Bounds.Grace", span(b.Bounds.Grace))
	line("Tariff.Bounds.Drain", span(b.Bounds.Drain))
	return os.WriteFile(path, []byte(t.String()), 0o644)
}

func span(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
