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

// ReadPlatform decodes the platform's configuration; the environment fills in what it leaves out.
func ReadPlatform(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("%s: not JSON: %w", path, err)
	}
	or := func(field, variable string) string {
		if text := v.GetStringBytes(field); len(text) > 0 {
			return string(text)
		}
		return os.Getenv(variable)
	}
	listen, asked := or("listen", "PROXY_LISTEN"), or("discovery", "PROXY_DISCOVERY")
	switch {
	case listen == "":
		return nil, fmt.Errorf("%s: no address to listen on", path)
	case asked == "":
		return nil, fmt.Errorf("%s: no address of discovery", path)
	case v.Get("settings") == nil || v.Get("settings").Type() != fastjson.TypeObject:
		return nil, fmt.Errorf("%s: no settings", path)
	}
	seed, err := strconv.ParseUint(string(v.GetStringBytes("seed")), 16, 64)
	if err != nil {
		return nil, fmt.Errorf("%s: the seed is not a hexadecimal number", path)
	}
	if err := sound(v.Get("settings")); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	inherited := 0
	if text := os.Getenv("PROXY_LISTEN_FD"); text != "" {
		if inherited, err = strconv.Atoi(text); err != nil || inherited < 3 {
			return nil, fmt.Errorf("PROXY_LISTEN_FD: %q is no descriptor that a process can inherit", text)
		}
	}
	pool := &Pool{
		Name: "main", Print: string(v.Get("settings").MarshalTo(nil)), Book: terms.Read(v.Get("settings"), seed), Share: -1, List: List{Discovery: asked},
	}
	pool.Book.Terms.Peers = false // Danger: no peer's address is told here, and a crowd that can't be heard of looks like none
	if known := v.Get("known"); known != nil && known.Type() != fastjson.TypeNull {
		if pool.List.Known, _, err = discovery.ParseReport(known); err != nil {
			return nil, fmt.Errorf("%s: known: %w", path, err)
		}
	}
	p := &Plan{
		Name: or("name", "PROXY_NAME"), Platform: true, Seed: seed, Pools: []*Pool{pool},
		Listeners: []Listener{{"main", listen, inherited}}, Ops: or("ops", "PROXY_OPS"), keys: paths(v),
		Limits: Limits{
			Cores: int(v.GetFloat64("limits", "cores")), Memory: int64(v.GetFloat64("limits", "memory_mb") * (1 << 20)), Descriptors: v.GetInt("limits", "sockets"),
		},
	}
	p.Limits.complete()
	return p, nil
}

const longestTime = 24 * 3600 * 1e6 // microseconds; a longer one is a slip

// sound names what makes no sense in settings. Danger: read leniently, a slip in one figure would have the balancer give
// up all that comes, or send it out for ever.
func sound(v *fastjson.Value) error {
	if most := v.Get("limits", "max_pushes"); most != nil {
		if n, err := most.Int(); err != nil || n < 1 {
			return fmt.Errorf("settings.limits.max_pushes: %s is no positive number of attempts", most)
		}
	}
	seen := map[string]bool{}
	for n, c := range v.GetArray("tariffs") {
		at, name := fmt.Sprintf("settings.tariffs[%d]", n), string(c.GetStringBytes("name"))
		switch {
		case c.Type() != fastjson.TypeObject:
			return fmt.Errorf("%s: not an object", at)
		case name == "":
			return fmt.Errorf("%s.name: it has none", at)
		case seen[name]:
			return fmt.Errorf("%s.name: %q is there twice", at, name)
		}
		seen[name] = true
		for _, key := range []string{"contract_time", "hard_stop"} {
			if f := c.GetFloat64(key); !c.Exists(key) {
				return fmt.Errorf("%s.%s: it is missing", at, key)
			} else if !(f > 0 && f <= longestTime) {
				return fmt.Errorf("%s.%s: %s is no positive time in microseconds", at, key, c.Get(key))
			}
		}
		if effect := string(c.GetStringBytes("effect")); effect != "idempotent" && effect != "deduplicated" && effect != "at_most_once" {
			return fmt.Errorf("%s.effect: %q is none", at, effect)
		}
	}
	if zone, zones := string(v.GetStringBytes("zone")), v.GetArray("zones"); len(zones) > 0 &&
		!slices.ContainsFunc(zones, func(z *fastjson.Value) bool { return string(z.GetStringBytes()) == zone }) {
		return fmt.Errorf("settings.zone: %q is none of the zones", zone)
	}
	return nil
}

// paths are those of all keys of a configuration but for the list in it; those of a list of objects are the ones that
// each of them has.
func paths(v *fastjson.Value) (all []string) {
	var walk func(v *fastjson.Value, at string) map[string]bool
	walk = func(v *fastjson.Value, at string) map[string]bool {
		found := map[string]bool{}
		switch v.Type() {
		case fastjson.TypeObject:
			o, _ := v.Object()
			o.Visit(func(key []byte, v *fastjson.Value) {
				path := at + string(key)
				found[path] = true
				if path != "known" {
					maps.Copy(found, walk(v, path+"."))
				}
			})
		case fastjson.TypeArray:
			for n, v := range v.GetArray() {
				each := walk(v, strings.TrimSuffix(at, ".")+"[].")
				if n == 0 {
					found = each
				}
				maps.DeleteFunc(found, func(key string, _ bool) bool { return !each[key] })
			}
		}
		return found
	}
	return slices.Sorted(maps.Keys(walk(v, "")))
}

// onlyTagged are keys of a tariff that say something of tagged ones alone.
var onlyTagged = []string{"settings.tariffs[].group", "settings.tariffs[].dedup_window", "settings.tariffs[].aim_stretch"}

// Lacks names the first key that an earlier plan has and this one doesn't, "" for none. Danger: a file that is being
// written, or was cut, may still be JSON, and what it lacks would count as zero.
func (p *Plan) Lacks(earlier *Plan) string {
	for _, key := range earlier.keys {
		if !slices.Contains(p.keys, key) && !slices.Contains(onlyTagged, key) && key != "known" {
			return key
		}
	}
	return ""
}
