package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"

	"github.com/valyala/fastjson"

	"ottershift/internal/discovery"
	"ottershift/internal/terms"
)

// unsaid is the descriptors that a process has by custom, where nothing is said.
const unsaid = 1024

// orders is what the program is told at its start.
type orders struct {
	name      string
	listen    string
	discovery string
	memory    int64 // bytes
	sockets   int
	book      *terms.Book
	known     discovery.Report
}

// readOrders decodes the configuration; the environment fills in what it leaves out.
func readOrders(path string) (*orders, error) {
	if path == "" {
		return nil, errors.New("PROXY_CONFIG names no file")
	}
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
	o := &orders{
		name: or("name", "PROXY_NAME"), listen: or("listen", "PROXY_LISTEN"),
		discovery: or("discovery", "PROXY_DISCOVERY"),
		memory:    int64(v.GetFloat64("limits", "memory_mb") * (1 << 20)),
		sockets:   v.GetInt("limits", "sockets"),
	}
	if o.sockets <= 0 {
		o.sockets = unsaid
	}
	switch {
	case o.listen == "":
		return nil, fmt.Errorf("%s: no address to listen on", path)
	case o.discovery == "":
		return nil, fmt.Errorf("%s: no address of discovery", path)
	case v.Get("settings") == nil || v.Get("settings").Type() != fastjson.TypeObject:
		return nil, fmt.Errorf("%s: no settings", path)
	}
	seed, err := strconv.ParseUint(string(v.GetStringBytes("seed")), 16, 64)
	if err != nil {
		return nil, fmt.Errorf("%s: the seed is not a hexadecimal number", path)
	}
	o.book = terms.Read(v.Get("settings"), seed)
	if known := v.Get("known"); known != nil && known.Type() != fastjson.TypeNull {
		if o.known, _, err = discovery.Read(known); err != nil {
			return nil, fmt.Errorf("%s: known: %w", path, err)
		}
	}
	return o, nil
}
