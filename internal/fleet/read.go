// Package fleet summarizes the logs of many balancers: which events happened at many balancers in the same second,
// which upstreams were ejected by many and for how long, and which transactions were deferred, where and why.
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
	maxReportedErrors = 8 // reported for each file; all are counted
)

// ParseError describes a line that could not be parsed.
type ParseError struct {
	File string `json:"file"`
	Line int    `json:"line"`
	Text string `json:"fault"`
}

// String returns the error with its file and line.
func (e ParseError) String() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text) }

// event is an event of a log.
type event struct {
	at       int64  // Unix nanoseconds
	kind     string // such as "start", "drain", "reload", "aside", "back", "list_told", "list_open", "list_broken"
	upstream string
	detail   string
	index    int64
	value    float64 // delay in seconds of "list_changed"
}

// sample is a figure that covers one second or, in a tally, the time since the previous one. Times are in Unix
// nanoseconds.
type sample struct {
	at, since int64
	name      string
	value     float64
}

// processLog is the content of one file, the log of one process.
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
	unreadLines  int // lines that could not be parsed
	libraryLines int // lines logged by net/http itself
}

// Logs holds the logs of a fleet.
type Logs struct {
	processes []*processLog
}

// Read reads all files below a directory, several in parallel. It calls progress with the fraction that is done, from
// several goroutines.
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
		return nil, fmt.Errorf("%s: directory contains no files", dir)
	}
	logs := &Logs{processes: make([]*processLog, len(files))}
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
				logs.processes[n], errs[n] = readFile(files[n], name, func(bytes int) {
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
	logs.processes = slices.DeleteFunc(logs.processes, func(log *processLog) bool {
		return log.lines+log.unreadLines+log.libraryLines == 0
	})
	slices.SortFunc(logs.processes, func(a, b *processLog) int { return cmp.Compare(a.file, b.file) })
	if !slices.ContainsFunc(logs.processes, func(log *processLog) bool { return log.lines > 0 }) {
		return nil, fmt.Errorf("%s: %d files, none contains a line of a balancer's log", dir, len(files))
	}
	return logs, nil
}

// readFile reads one file. Lines that cannot be parsed are skipped, counted and reported.
func readFile(path, name string, progress func(bytes int)) (*processLog, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	p := &processLog{file: name, name: strings.TrimSuffix(name, filepath.Ext(name))}
	return p, p.read(f, progress)
}

// unsolicited is part of a message that http.Transport logs directly, in another format.
var unsolicited = []byte("Unsolicited response received on idle HTTP channel")

// read reads all lines of a log.
func (p *processLog) read(from io.Reader, progress func(bytes int)) error {
	lines := bufio.NewReaderSize(from, 64<<10)
	parsed := record{interned: map[string]string{}}
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
			p.libraryLines++
		} else if tooLong {
			p.addParseError(lineNumber, fmt.Sprintf("line exceeds %d bytes", maxLineBytes))
		} else if len(text) > 0 {
			if parseErr := parsed.parse(text); parseErr != nil {
				p.addParseError(lineNumber, parseErr.Error())
			} else {
				p.add(&parsed, &lastTally)
			}
		}
		if err == io.EOF {
			return nil
		}
	}
}

// readLine reads a line. It skips the rest of a line of more than maxLineBytes.
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

// addParseError counts a line that cannot be parsed, and records the first ones of a file.
func (p *processLog) addParseError(line int, text string) {
	if p.unreadLines++; len(p.parseErrors) < maxReportedErrors {
		p.parseErrors = append(p.parseErrors, ParseError{p.file, line, text})
	}
}

// record is a parsed line: its time in Unix nanoseconds, its event and its fields in order. It is reused for all lines
// of a file.
type record struct {
	at       int64
	event    string
	names    []string
	values   []string
	interned map[string]string // frequent strings, stored once
	json     fastjson.Parser
}

// intern returns a string that is shared with earlier equal ones. The table is limited to 16384 strings.
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

// get returns the value of a field, or "" without one.
func (r *record) get(name string) string {
	if k := slices.Index(r.names, name); k >= 0 {
		return r.values[k]
	}
	return ""
}

func (r *record) add(name, value []byte) {
	r.names, r.values = append(r.names, r.intern(name)), append(r.values, r.intern(value))
}

// parse parses a line of key=value text or of JSON.
func (r *record) parse(text []byte) error {
	r.names, r.values = r.names[:0], r.values[:0]
	if text[0] == '{' {
		v, err := r.json.ParseBytes(text)
		if err != nil {
			return errors.New("invalid JSON")
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
		return errors.New("not a line of a balancer's log: time or event is missing")
	}
	r.at = at.UnixNano()
	return nil
}

// gauges names the figures that describe a current state and must not be added up.
var gauges = map[string]bool{
	"room": true, "in_hand": true, "in_hand_mean": true, "line": true, "slow": true, "slow_base": true, "strength": true, "best": true,
	"own": true, "aside": true, "cold": true, "bucket": true, "open": true, "clients": true, "upstream_connections": true,
	"bytes_in_hand": true, "owed": true,
}

// add adds the event or the figures of a line.
func (p *processLog) add(line *record, lastTally *int64) {
	if p.lines++; p.first == 0 || line.at < p.first {
		p.first = line.at
	}
	p.last = max(p.last, line.at)
	if *lastTally == 0 {
		*lastTally = line.at
	}
	newEvent := event{at: line.at, upstream: line.get("upstream"), detail: line.get("why")}
	switch step := line.get("step"); line.event {
	case "start":
		newEvent.kind = "start"
		p.name, p.tier = cmp.Or(line.get("name"), p.name), cmp.Or(line.get("tier"), p.tier)
		if line.get("discovery") == "" && line.get("tier") == "" {
			return // start of a listener or of the administrative address
		}
	case "drain", "panic":
		if newEvent.kind = line.event; step != "" && step != "begin" {
			return
		}
	case "reload":
		if newEvent.kind = line.event; step != "taken" {
			return
		}
	case "upstream":
		if newEvent.kind = step; step == "back" && line.get("cold") == "true" {
			newEvent.detail = "cold"
		}
	case "watch":
		if newEvent.kind = "list_" + step; step == "broken" {
			newEvent.detail = line.get("fault")
		}
		newEvent.index, _ = strconv.ParseInt(line.get("index"), 10, 64)
	case "list":
		newEvent.kind = "list_" + step
		if late, err := time.ParseDuration(line.get("late")); err == nil {
			newEvent.value = late.Seconds()
		}
	case "cluster":
		switch newEvent.kind = "cluster_" + step; step {
		case "member":
			newEvent.kind, newEvent.detail = "member_"+line.get("state"), line.get("member")
		case "over", "refused":
		default:
			return
		}
	case "losses", "tally":
		p.addFigures(line, *lastTally)
		if line.event == "tally" {
			*lastTally = line.at
		}
		return
	default:
		return
	}
	p.events = append(p.events, newEvent)
}

// addFigures adds the figures of a line. A tally covers at most the minute before it.
func (p *processLog) addFigures(line *record, since int64) {
	for k, name := range line.names {
		value, err := strconv.ParseFloat(line.values[k], 64)
		if err != nil || value == 0 || gauges[name] {
			continue
		}
		newSample := sample{at: line.at, since: max(since, line.at-int64(time.Minute)), name: name, value: value}
		if line.event == "losses" {
			newSample.since = line.at - int64(time.Second)
			p.losses = append(p.losses, newSample)
		} else {
			p.tallies = append(p.tallies, newSample)
		}
	}
}
