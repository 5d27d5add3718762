package plan

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"ottershift/internal/discovery"
	"ottershift/internal/terms"
)

// ReadPlatform decodes the platform's configuration file. Environment variables supply missing fields.
func ReadPlatform(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	document, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("%s: not JSON: %w", path, err)
	}
	fieldOrEnv := func(field, variable string) string {
		if text := document.GetStringBytes(field); len(text) > 0 {
			return string(text)
		}
		return os.Getenv(variable)
	}
	listen, discoveryAddress := fieldOrEnv("listen", "PROXY_LISTEN"), fieldOrEnv("discovery", "PROXY_DISCOVERY")
	switch {
	case listen == "":
		return nil, fmt.Errorf("%s: no address to listen on", path)
	case discoveryAddress == "":
		return nil, fmt.Errorf("%s: no address of discovery", path)
	case document.Get("settings") == nil || document.Get("settings").Type() != fastjson.TypeObject:
		return nil, fmt.Errorf("%s: no settings", path)
	}
	seed, err := strconv.ParseUint(string(document.GetStringBytes("seed")), 16, 64)
	if err != nil {
		return nil, fmt.Errorf("%s: the seed is not a hexadecimal number", path)
	}
	if err := validate(document.Get("settings")); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	inherited := 0
	if text := os.Getenv("PROXY_LISTEN_FD"); text != "" {
		if inherited, err = strconv.Atoi(text); err != nil || inherited < 3 {
			return nil, fmt.Errorf("PROXY_LISTEN_FD: %q is not an inheritable descriptor", text)
		}
	}
	pool := &Pool{
		Name: "main", Fingerprint: string(document.Get("settings").MarshalTo(nil)),
		Settings: terms.Decode(document.Get("settings"), seed), Share: -1, Upstreams: UpstreamSource{Discovery: discoveryAddress},
	}
	// This format has no peer addresses, and load from unknown peers would look like no load.
	pool.Settings.Engine.Peers = false
	if known := document.Get("known"); known != nil && known.Type() != fastjson.TypeNull {
		if pool.Upstreams.Initial, _, err = discovery.ParseReport(known); err != nil {
			return nil, fmt.Errorf("%s: known: %w", path, err)
		}
	}
	plan := &Plan{
		Name: fieldOrEnv("name", "PROXY_NAME"), Platform: true, Seed: seed, Pools: []*Pool{pool},
		Listeners: []Listener{{"main", listen, inherited}}, OpsAddress: fieldOrEnv("ops", "PROXY_OPS"), platformKeys: keyPaths(document),
		Limits: Limits{
			Cores: int(document.GetFloat64("limits", "cores")), MemoryBytes: int64(document.GetFloat64("limits", "memory_mb") * (1 << 20)),
			Descriptors: document.GetInt("limits", "sockets"),
		},
	}
	plan.Limits.applyDefaults()
	return plan, nil
}

// maxTimeMicros is the longest time that validate accepts, in microseconds.
const maxTimeMicros = 24 * 3600 * 1e6 // longer times are assumed to be mistakes

// validate reports the first invalid value in the settings. If mistakes were tolerated, one wrong number could make the
// balancer reject all transactions or retry them endlessly.
func validate(settings *fastjson.Value) error {
	if maxAttempts := settings.Get("limits", "max_pushes"); maxAttempts != nil {
		if index, err := maxAttempts.Int(); err != nil || index < 1 {
			return fmt.Errorf("settings.limits.max_pushes: %s is not a positive number of attempts", maxAttempts)
		}
	}
	seen := map[string]bool{}
	for index, tariff := range settings.GetArray("tariffs") {
		tariffPath, name := fmt.Sprintf("settings.tariffs[%d]", index), string(tariff.GetStringBytes("name"))
		switch {
		case tariff.Type() != fastjson.TypeObject:
			return fmt.Errorf("%s: is not an object", tariffPath)
		case name == "":
			return fmt.Errorf("%s.name: is missing", tariffPath)
		case seen[name]:
			return fmt.Errorf("%s.name: %q occurs twice", tariffPath, name)
		}
		seen[name] = true
		for _, key := range []string{"contract_time", "hard_stop"} {
			if micros := tariff.GetFloat64(key); !tariff.Exists(key) {
				return fmt.Errorf("%s.%s: is missing", tariffPath, key)
			} else if !(micros > 0 && micros <= maxTimeMicros) {
				return fmt.Errorf("%s.%s: %s is not a positive time in microseconds up to 24 hours", tariffPath, key, tariff.Get(key))
			}
		}
		if effect := string(tariff.GetStringBytes("effect")); effect != "idempotent" && effect != "deduplicated" && effect != "at_most_once" {
			return fmt.Errorf("%s.effect: %q is not a known effect", tariffPath, effect)
		}
	}
	if zone, zones := string(settings.GetStringBytes("zone")), settings.GetArray("zones"); len(zones) > 0 &&
		!slices.ContainsFunc(zones, func(z *fastjson.Value) bool { return string(z.GetStringBytes()) == zone }) {
		return fmt.Errorf("settings.zone: %q is not one of the zones", zone)
	}
	return nil
}

// keyPaths returns the sorted paths of all keys of a configuration, except those inside the list of known upstreams. Of a
// list of objects, it returns the keys that every object has.
func keyPaths(v *fastjson.Value) (all []string) {
	var walk func(v *fastjson.Value, prefix string) map[string]bool
	walk = func(v *fastjson.Value, prefix string) map[string]bool {
		found := map[string]bool{}
		switch v.Type() {
		case fastjson.TypeObject:
			o, _ := v.Object()
			o.Visit(func(key []byte, v *fastjson.Value) {
				path := prefix + string(key)
				found[path] = true
				if path != "known" {
					maps.Copy(found, walk(v, path+"."))
				}
			})
		case fastjson.TypeArray:
			for n, v := range v.GetArray() {
				elementKeys := walk(v, strings.TrimSuffix(prefix, ".")+"[].")
				if n == 0 {
					found = elementKeys
				}
				maps.DeleteFunc(found, func(key string, _ bool) bool { return !elementKeys[key] })
			}
		}
		return found
	}
	return slices.Sorted(maps.Keys(walk(v, "")))
}

// keyedTariffKeys are keys of a tariff that only concern tagged (deduplicated) transactions.
var keyedTariffKeys = []string{"settings.tariffs[].group", "settings.tariffs[].dedup_window", "settings.tariffs[].aim_stretch"}

// MissingKey returns the first key that an earlier plan has and this one does not, or "". A file that is being written or is
// truncated may still be valid JSON, and its missing values would be read as zero.
func (p *Plan) MissingKey(earlier *Plan) string {
	for _, key := range earlier.platformKeys {
		if !slices.Contains(p.platformKeys, key) && !slices.Contains(keyedTariffKeys, key) && key != "known" {
			return key
		}
	}
	return ""
}
