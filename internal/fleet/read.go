// Package fleet counts across the logs of many balancers what they did together: who did the same in the same second,
// who held the same wrong belief and for how long, who deferred what and why.
package fleet

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/valyala/fastjson"
)

const (
	mostLine   = 1 << 20
	mostFaults = 8 // of a file that are told; all are counted
)

// Fault is a line that could not be read.
type Fault struct {
	File string `json:"file"`
	Line int    `json:"line"`
	Text string `json:"fault"`
}

func (f Fault) String() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Text) }

// event is something that happened at one moment.
type event struct {
	at       int64
	kind     string // "aside", "back", "told", "open", "broken", "list", "start", "drain"
	upstream string
	why      string
	index    int64
	number   float64 // of what changed, or the delay in seconds
}

// sample is a figure of one second or, of a tally, of the time since the tally before.
type sample struct {
	at, since int64
	name      string
	n         float64
}

// node is what one file tells: the life of one process.
type node struct {
	file        string
	name        string
	tier        string
	first, last int64
	lines       int
	events      []event
	losses      []sample
	tallies     []sample
	faults      []Fault
	wrong       int // lines that could not be read
	others      int // lines of the library, which are no log of ours
}

// Logs are those of a fleet.
type Logs struct {
	nodes []*node
}

// Read reads all files of a folder and of the folders in it, several at a time; progress is told the part that is done.
func Read(dir string, progress func(done float64)) (*Logs, error) {
	var files []string
	var size int64
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if about, err := d.Info(); err == nil && d.Type().IsRegular() {
			files, size = append(files, path), size+about.Size()
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s: no files in it", dir)
	}
	l := &Logs{nodes: make([]*node, len(files))}
	var done atomic.Int64
	var work sync.WaitGroup
	next := make(chan int)
	errs := make([]error, len(files))
	for range min(runtime.GOMAXPROCS(0), len(files)) {
		work.Add(1)
		go func() {
			defer work.Done()
			for n := range next {
				name, err := filepath.Rel(dir, files[n])
				if err != nil {
					name = files[n]
				}
				l.nodes[n], errs[n] = readFile(files[n], name, func(bytes int) {
					if now := done.Add(int64(bytes)); size > 0 {
						progress(min(1, float64(now)/float64(size)))
					}
				})
			}
		}()
	}
	for n := range files {
		next <- n
	}
	close(next)
	work.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	l.nodes = slices.DeleteFunc(l.nodes, func(n *node) bool { return n.lines+n.wrong+n.others == 0 })
	slices.SortFunc(l.nodes, func(a, b *node) int { return cmp.Compare(a.file, b.file) })
	if !slices.ContainsFunc(l.nodes, func(n *node) bool { return n.lines > 0 }) {
		return nil, fmt.Errorf("%s: %d files, no line of a balancer's log in them", dir, len(files))
	}
	return l, nil
}

// readFile reads one file to its end; what makes no sense is left out, told and counted.
func readFile(path, name string, progress func(bytes int)) (*node, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	n := &node{file: name, name: strings.TrimSuffix(name, filepath.Ext(name))}
	return n, n.read(f, progress)
}

var unsolicited = []byte("Unsolicited response received on idle HTTP channel")

func (n *node) read(from io.Reader, progress func(bytes int)) error {
	lines := bufio.NewReaderSize(from, 64<<10)
	r := record{known: map[string]string{}}
	var tallied int64
	bytesRead := 0
	for number := 1; ; number++ {
		line, long, err := next(lines)
		if bytesRead += len(line) + 1; bytesRead > 1<<18 || err != nil {
			progress(bytesRead)
			bytesRead = 0
		}
		if err != nil && err != io.EOF {
			return fmt.Errorf("%s: %w", n.file, err)
		}
		if text := bytes.TrimSpace(line); bytes.Contains(text, unsolicited) {
			n.others++ // what http.Transport says by itself
		} else if long {
			n.fault(number, fmt.Sprintf("a line of over %d bytes", mostLine))
		} else if len(text) > 0 {
			if wrong := r.parse(text); wrong != nil {
				n.fault(number, wrong.Error())
			} else {
				n.take(&r, &tallied)
			}
		}
		if err == io.EOF {
			return nil
		}
	}
}

// next reads a line; of one that is too long the rest is passed over.
func next(from *bufio.Reader) (line []byte, long bool, err error) {
	for {
		part, err := from.ReadSlice('\n')
		if !long {
			line = append(line, part...)
			long = len(line) > mostLine
		}
		if err != bufio.ErrBufferFull {
			return line, long, err
		}
	}
}

func (n *node) fault(line int, text string) {
	if n.wrong++; len(n.faults) < mostFaults {
		n.faults = append(n.faults, Fault{n.file, line, text})
	}
}

// record is one line: its time, its event and its fields in their order.
type record struct {
	at     int64
	event  string
	names  []string
	values []string
	known  map[string]string // texts that come again and again, kept once
	json   fastjson.Parser
}

func (r *record) keep(text []byte) string {
	if s, known := r.known[string(text)]; known {
		return s
	}
	s := string(text)
	if len(r.known) < 1<<14 {
		r.known[s] = s
	}
	return s
}

func (r *record) get(name string) string {
	if k := slices.Index(r.names, name); k >= 0 {
		return r.values[k]
	}
	return ""
}

func (r *record) add(name, value []byte) {
	r.names, r.values = append(r.names, r.keep(name)), append(r.values, r.keep(value))
}

// parse reads a line of key=value text or of JSON.
func (r *record) parse(text []byte) error {
	r.names, r.values = r.names[:0], r.values[:0]
	if text[0] == '{' {
		v, err := r.json.ParseBytes(text)
		if err != nil {
			return errors.New("no JSON")
		}
		v.GetObject().Visit(func(name []byte, v *fastjson.Value) {
			if v.Type() == fastjson.TypeString {
				r.add(name, v.GetStringBytes())
			} else {
				r.add(name, v.MarshalTo(nil))
			}
		})
	} else {
		d := logfmt.NewDecoder(bytes.NewReader(text))
		for d.ScanRecord() {
			for d.ScanKeyval() {
				r.add(d.Key(), d.Value())
			}
		}
		if d.Err() != nil {
			return errors.New("neither key=value text nor JSON")
		}
	}
	r.event = r.get("event")
	at, err := time.Parse(time.RFC3339Nano, r.get("time"))
	if err != nil || r.event == "" {
		return errors.New("no line of a balancer's log: time or event is missing")
	}
	r.at = at.UnixNano()
	return nil
}

// stands are the figures that say how things stand and add up to nothing.
var stands = map[string]bool{
	"room": true, "in_hand": true, "in_hand_mean": true, "line": true, "slow": true, "slow_base": true, "strength": true, "best": true,
	"own": true, "aside": true, "cold": true, "bucket": true, "open": true, "clients": true, "upstream_connections": true,
	"bytes_in_hand": true, "owed": true,
}

// take keeps what a line tells.
func (n *node) take(r *record, tallied *int64) {
	if n.lines++; n.first == 0 || r.at < n.first {
		n.first = r.at
	}
	n.last = max(n.last, r.at)
	if *tallied == 0 {
		*tallied = r.at
	}
	e := event{at: r.at, upstream: r.get("upstream"), why: r.get("why")}
	switch step := r.get("step"); r.event {
	case "start":
		e.kind = "start"
		n.name, n.tier = cmp.Or(r.get("name"), n.name), cmp.Or(r.get("tier"), n.tier)
		if r.get("discovery") == "" && r.get("tier") == "" {
			return // of a listener or of the second address
		}
	case "drain", "panic":
		if e.kind = r.event; step != "" && step != "begin" {
			return
		}
	case "reload":
		if e.kind = r.event; step != "taken" {
			return
		}
	case "upstream":
		if e.kind = step; step == "back" && r.get("cold") == "true" {
			e.why = "cold"
		}
	case "watch":
		if e.kind = "list_" + step; step == "broken" {
			e.why = r.get("fault")
		}
		e.index, _ = strconv.ParseInt(r.get("index"), 10, 64)
	case "list":
		e.kind = "list_" + step
		if late, err := time.ParseDuration(r.get("late")); err == nil {
			e.number = late.Seconds()
		}
	case "cluster":
		switch e.kind = "cluster_" + step; step {
		case "member":
			e.kind, e.why = "member_"+r.get("state"), r.get("member")
		case "over", "refused":
		default:
			return
		}
	case "losses", "tally":
		n.figures(r, *tallied)
		if r.event == "tally" {
			*tallied = r.at
		}
		return
	default:
		return
	}
	n.events = append(n.events, e)
}

func (n *node) figures(r *record, since int64) {
	for k, name := range r.names {
		v, err := strconv.ParseFloat(r.values[k], 64)
		if err != nil || v == 0 || stands[name] {
			continue
		}
		s := sample{at: r.at, since: max(since, r.at-int64(time.Minute)), name: name, n: v}
		if r.event == "losses" {
			s.since = r.at - int64(time.Second)
			n.losses = append(n.losses, s)
		} else {
			n.tallies = append(n.tallies, s)
		}
	}
}
