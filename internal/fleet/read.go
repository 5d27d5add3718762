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
	maxLineBytes      = 1 << 20
	maxReportedErrors = 8 // of a file that are told; all are counted
)

// ParseError is a line that could not be read.
type ParseError struct {
	File string `json:"file"`
	Line int    `json:"line"`
	Text string `json:"fault"`
}

func (e ParseError) String() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text) }

// event is something that happened at one moment.
type event struct {
	at       int64
	kind     string // "aside", "back", "told", "open", "broken", "list", "start", "drain"
	upstream string
	why      string
	index    int64
	value    float64 // of what changed, or the delay in seconds
}

// sample is a figure of one second or, of a tally, of the time since the tally before.
type sample struct {
	at, since int64
	name      string
	value     float64
}

// processLog is what one file tells: the life of one process.
type processLog struct {
	file         string
	name         string
	tier         string
	first, last  int64
	lines        int
	events       []event
	losses       []sample
	tallies      []sample
	parseErrors  []ParseError
	unreadLines  int // lines that could not be read
	libraryLines int // lines of the library, which are no log of ours
}

// Logs are those of a fleet.
type Logs struct {
	processes []*processLog
}

// Read reads all files of a folder and of the folders in it, several at a time; progress is told the part that is done.
func Read(dir string, progress func(done float64)) (*Logs, error) {
	var files []string
	var size int64
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if info, err := d.Info(); err == nil && d.Type().IsRegular() {
			files, size = append(files, path), size+info.Size()
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s: no files in it", dir)
	}
	l := &Logs{processes: make([]*processLog, len(files))}
	var done atomic.Int64
	var workers sync.WaitGroup
	jobs := make(chan int)
	errs := make([]error, len(files))
	for range min(runtime.GOMAXPROCS(0), len(files)) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for n := range jobs {
				name, err := filepath.Rel(dir, files[n])
				if err != nil {
					name = files[n]
				}
				l.processes[n], errs[n] = readFile(files[n], name, func(bytes int) {
					if now := done.Add(int64(bytes)); size > 0 {
						progress(min(1, float64(now)/float64(size)))
					}
				})
			}
		}()
	}
	for n := range files {
		jobs <- n
	}
	close(jobs)
	workers.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	l.processes = slices.DeleteFunc(l.processes, func(n *processLog) bool { return n.lines+n.unreadLines+n.libraryLines == 0 })
	slices.SortFunc(l.processes, func(a, b *processLog) int { return cmp.Compare(a.file, b.file) })
	if !slices.ContainsFunc(l.processes, func(n *processLog) bool { return n.lines > 0 }) {
		return nil, fmt.Errorf("%s: %d files, no line of a balancer's log in them", dir, len(files))
	}
	return l, nil
}

// readFile reads one file to its end; what makes no sense is left out, told and counted.
func readFile(path, name string, progress func(bytes int)) (*processLog, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	p := &processLog{file: name, name: strings.TrimSuffix(name, filepath.Ext(name))}
	return p, p.read(f, progress)
}

var unsolicited = []byte("Unsolicited response received on idle HTTP channel")

func (p *processLog) read(from io.Reader, progress func(bytes int)) error {
	lines := bufio.NewReaderSize(from, 64<<10)
	record := record{interned: map[string]string{}}
	var lastTally int64
	bytesRead := 0
	for lineNumber := 1; ; lineNumber++ {
		line, tooLong, err := readLine(lines)
		if bytesRead += len(line) + 1; bytesRead > 1<<18 || err != nil {
			progress(bytesRead)
			bytesRead = 0
		}
		if err != nil && err != io.EOF {
			return fmt.Errorf("%s: %w", p.file, err)
		}
		if text := bytes.TrimSpace(line); bytes.Contains(text, unsolicited) {
			p.libraryLines++ // what http.Transport says by itself
		} else if tooLong {
			p.addParseError(lineNumber, fmt.Sprintf("a line of over %d bytes", maxLineBytes))
		} else if len(text) > 0 {
			if parseErr := record.parse(text); parseErr != nil {
				p.addParseError(lineNumber, parseErr.Error())
			} else {
				p.add(&record, &lastTally)
			}
		}
		if err == io.EOF {
			return nil
		}
	}
}

// readLine reads a line; of one that is too long the rest is passed over.
func readLine(from *bufio.Reader) (line []byte, tooLong bool, err error) {
	for {
		part, err := from.ReadSlice('\n')
		if !tooLong {
			line = append(line, part...)
			tooLong = len(line) > maxLineBytes
		}
		if err != bufio.ErrBufferFull {
			return line, tooLong, err
		}
	}
}

func (p *processLog) addParseError(line int, text string) {
	if p.unreadLines++; len(p.parseErrors) < maxReportedErrors {
		p.parseErrors = append(p.parseErrors, ParseError{p.file, line, text})
	}
}

// record is one line: its time, its event and its fields in their order.
type record struct {
	at       int64
	event    string
	names    []string
	values   []string
	interned map[string]string // texts that come again and again, kept once
	json     fastjson.Parser
}

func (r *record) intern(text []byte) string {
	if s, known := r.interned[string(text)]; known {
		return s
	}
	s := string(text)
	if len(r.interned) < 1<<14 {
		r.interned[s] = s
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
	r.names, r.values = append(r.names, r.intern(name)), append(r.values, r.intern(value))
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

// gauges are the figures that say how things stand and add up to nothing.
var gauges = map[string]bool{
	"room": true, "in_hand": true, "in_hand_mean": true, "line": true, "slow": true, "slow_base": true, "strength": true, "best": true,
	"own": true, "aside": true, "cold": true, "bucket": true, "open": true, "clients": true, "upstream_connections": true,
	"bytes_in_hand": true, "owed": true,
}

// add keeps what a line tells.
func (p *processLog) add(record *record, lastTally *int64) {
	if p.lines++; p.first == 0 || record.at < p.first {
		p.first = record.at
	}
	p.last = max(p.last, record.at)
	if *lastTally == 0 {
		*lastTally = record.at
	}
	event := event{at: record.at, upstream: record.get("upstream"), why: record.get("why")}
	switch step := record.get("step"); record.event {
	case "start":
		event.kind = "start"
		p.name, p.tier = cmp.Or(record.get("name"), p.name), cmp.Or(record.get("tier"), p.tier)
		if record.get("discovery") == "" && record.get("tier") == "" {
			return // of a listener or of the second address
		}
	case "drain", "panic":
		if event.kind = record.event; step != "" && step != "begin" {
			return
		}
	case "reload":
		if event.kind = record.event; step != "taken" {
			return
		}
	case "upstream":
		if event.kind = step; step == "back" && record.get("cold") == "true" {
			event.why = "cold"
		}
	case "watch":
		if event.kind = "list_" + step; step == "broken" {
			event.why = record.get("fault")
		}
		event.index, _ = strconv.ParseInt(record.get("index"), 10, 64)
	case "list":
		event.kind = "list_" + step
		if late, err := time.ParseDuration(record.get("late")); err == nil {
			event.value = late.Seconds()
		}
	case "cluster":
		switch event.kind = "cluster_" + step; step {
		case "member":
			event.kind, event.why = "member_"+record.get("state"), record.get("member")
		case "over", "refused":
		default:
			return
		}
	case "losses", "tally":
		p.addFigures(record, *lastTally)
		if record.event == "tally" {
			*lastTally = record.at
		}
		return
	default:
		return
	}
	p.events = append(p.events, event)
}

func (p *processLog) addFigures(record *record, since int64) {
	for k, name := range record.names {
		value, err := strconv.ParseFloat(record.values[k], 64)
		if err != nil || value == 0 || gauges[name] {
			continue
		}
		sample := sample{at: record.at, since: max(since, record.at-int64(time.Minute)), name: name, value: value}
		if record.event == "losses" {
			sample.since = record.at - int64(time.Second)
			p.losses = append(p.losses, sample)
		} else {
			p.tallies = append(p.tallies, sample)
		}
	}
}
