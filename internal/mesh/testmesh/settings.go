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

// WriteSettings writes the settings file of one process, in the form in which the platform provides it.
func WriteSettings(cfg *settings.Settings, path string) error {
	var content strings.Builder
	line := func(key string, value any) {
		if text := fmt.Sprint(value); text != "" {
			fmt.Fprintf(&content, "%s=%s\n", key, text)
		}
	}
	line("Self.Node", cfg.Node)
	line("Self.Ip", cfg.IP)
	line("Self.District", cfg.Zone)
	line("Self.FirstStart", cfg.FirstStart)
	line("Self.DataDir", cfg.DataDir)
	line("Self.App", cfg.UpstreamAddress)
	line("Self.Destination", cfg.Service)
	line("Self.SizeLimits.MemoryMb", cfg.MemoryMB)
	line("Network.Counters.Inbound", cfg.InboundAddress)
	line("Network.Counters.Outbound", cfg.OutboundAddress)
	line("Network.Counters.Ready", cfg.ReadinessAddress)
	line("Network.Counters.Control", cfg.ControlAddress)
	line("Network.InnerPorts", fmt.Sprintf("%d,%d", cfg.FirstInternalPort, cfg.LastInternalPort))
	line("Network.SeedOffices", strings.Join(cfg.Seeds, ","))
	for _, zone := range slices.Sorted(maps.Keys(cfg.RegionOfZone)) {
		line("Network.Districts."+zone, cfg.RegionOfZone[zone])
	}
	line("Carrier.Beat", milliseconds(cfg.HeartbeatInterval))
	line("Tariff.Tolerate.Machines", cfg.Tolerate.Machines)
	line("Tariff.Bounds.Grace", milliseconds(cfg.Bounds.Grace))
	line("Tariff.Bounds.Drain", milliseconds(cfg.Bounds.Drain))
	return os.WriteFile(path, []byte(content.String()), 0o644)
}

func milliseconds(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
