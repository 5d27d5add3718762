package storage

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/consensus"
)

const (
	controllerDiskBytes = 256 << 20 // disk size of a controller's machine
	routeBytes          = 193       // size of a route in a configuration of 4,000 routes: 774 KB in all
)

// configurationOf returns a document as large as a configuration of that many routes, different for each version.
func configurationOf(routes int, version int64) json.RawMessage {
	var doc bytes.Buffer
	fmt.Fprintf(&doc, `{"Edition":%d,"Routes":[`, version)
	for n := range routes {
		if n > 0 {
			doc.WriteByte(',')
		}
		route := fmt.Sprintf(`{"Name":"route-%d","Prefix":"/r%d/","Service":"s%d"`, n, n, (int64(n)+version)%97)
		fmt.Fprintf(&doc, `%s,"Padding":"%0*d"}`, route, routeBytes-len(route)-len(`,"Padding":""},`), n)
	}
	doc.WriteString("]}")
	return doc.Bytes()
}

// directorySize returns the total size and the number of the files in a directory.
func directorySize(t *testing.T, dir string) (bytes int64, files int) {
	err := filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil // removed by a compaction meanwhile
		}
		if info, err := entry.Info(); err == nil {
			bytes, files = bytes+info.Size(), files+1
		}
		return nil
	})
	must.NoError(t, err)
	return bytes, files
}

// diskMeasurements are the results of runChanges.
type diskMeasurements struct {
	largestBytes     int64 // largest size of the directory
	mostFiles        int
	perSave          time.Duration
	slowest          time.Duration
	restart          time.Duration
	writtenPerChange int64 // bytes that the process wrote per change
}

// writtenBytes returns the number of bytes that this process has written so far, to all its files.
func writtenBytes() (n int64) {
	raw, _ := os.ReadFile("/proc/self/io")
	for _, line := range bytes.Split(raw, []byte("\n")) {
		if value, is := bytes.CutPrefix(line, []byte("wchar: ")); is {
			n, _ = strconv.ParseInt(string(value), 10, 64)
		}
	}
	return n
}

// runChanges makes changes to a store, each with the three saves of a consensus acceptor. Every configurationEvery-th
// change replaces the configuration; the others change the number of members.
func runChanges(t *testing.T, changes, routes, configurationEvery int) (result diskMeasurements) {
	dir := t.TempDir()
	first := &consensus.State{Index: 1, Edition: 1, Configuration: configurationOf(routes, 1)}
	store, replica, _, err := Open(dir, func() (string, *consensus.State) { return "one", first })
	must.NoError(t, err)
	var total time.Duration
	save := func() {
		began := time.Now()
		must.NoError(t, store.Save(replica))
		took := time.Since(began)
		total, result.slowest = total+took, max(result.slowest, took)
	}
	before := writtenBytes()
	for n := range changes {
		replica.Promised = consensus.Ballot{Round: uint64(n), Proposer: "a"}
		save()
		next := replica.Decided.WithBalancerCount(n)
		if n%configurationEvery == 0 {
			version := next.Edition + 1
			next = replica.Decided.WithConfiguration(version, configurationOf(routes, version), fmt.Sprint(version))
		}
		replica.Accepted = &consensus.AcceptedValue{Ballot: replica.Promised, Value: next}
		save()
		replica.Decided, replica.Promised, replica.Accepted = next, consensus.Ballot{}, nil
		save()
		if n%10 == 0 {
			bytes, files := directorySize(t, dir)
			result.largestBytes, result.mostFiles = max(result.largestBytes, bytes), max(result.mostFiles, files)
		}
	}
	result.perSave, result.writtenPerChange = total/time.Duration(3*changes), (writtenBytes()-before)/int64(changes)
	must.NoError(t, store.Close())
	began := time.Now()
	store, again, initReason, err := Open(dir, func() (string, *consensus.State) { return "", nil })
	must.NoError(t, err)
	result.restart = time.Since(began)
	must.NoError(t, initReason)
	must.Eq(t, replica.Decided.Index, again.Decided.Index)
	must.Eq(t, string(replica.Decided.Configuration), string(again.Decided.Configuration))
	must.NoError(t, store.Close())
	return result
}

// TestDiskUseIsBounded logs the disk use of a store and requires that it stays below a quarter of the disk of a
// controller's machine. OTTERSHIFT_CHANGES sets the largest number of changes, 60 by default.
func TestDiskUseIsBounded(t *testing.T) {
	largest := 60
	if n, err := strconv.Atoi(os.Getenv("OTTERSHIFT_CHANGES")); err == nil {
		largest = n
	}
	for _, routes := range []int{10, 4000} {
		for _, every := range []int{1, 10, largest + 1} {
			for _, changes := range []int{10, 300, 3000} {
				changes = min(changes, largest)
				result := runChanges(t, changes, routes, every)
				t.Logf("%d routes, %d changes, configuration every %d: at most %.1f MB in %d files, %v per save (slowest %v), %d KB written per change, restart %v",
					routes, changes, every, float64(result.largestBytes)/1e6, result.mostFiles, result.perSave.Round(time.Microsecond), result.slowest.Round(time.Microsecond), result.writtenPerChange/1000, result.restart.Round(time.Microsecond))
				must.Less(t, controllerDiskBytes/4, result.largestBytes)
				if changes == largest {
					break
				}
			}
		}
	}
}
