package fleet

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// writeFiles writes log files, in which @ stands for the date, hour and minute.
func writeFiles(t *testing.T, dir string, files map[string]string) {
	t.Helper()
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(strings.ReplaceAll(text, "@", "2026-01-02T03:04:")), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// summarize reads and summarizes all logs of a directory.
func summarize(t *testing.T, dir string, options Options) *Summary {
	t.Helper()
	logs, err := Read(dir, func(float64) {})
	if err != nil {
		t.Fatal(err)
	}
	summary, err := logs.Summarize(options)
	if err != nil {
		t.Fatal(err)
	}
	return summary
}

// sampleLogs are the logs of two balancers of tier 0 and one of tier 1.
var sampleLogs = map[string]string{
	"a.log": `time=@00.100000Z level=INFO event=start pool=main name=a discovery=x tier=0 known=3 index=4
time=@00.200000Z level=INFO event=watch pool=main step=told index=4 whole=true entries=3
time=@02.300000Z level=INFO event=upstream pool=main step=aside upstream=u-1 why=timed_out
time=@03.000000Z level=INFO event=losses pool=main deferred_no_room=5 dial_first=2 room=8.5 in_hand=9
time=@04.000000Z level=INFO event=watch pool=main step=told index=5 whole=false entries=1
time=@05.300000Z level=INFO event=upstream pool=main step=back upstream=u-1 cold=true
time=@10.100000Z level=INFO event=tally pool=main arrived=100 settled=95 deferred=5 dial_first=20 room=9
`,
	"zone/b.log": `time=@00.400000Z level=INFO event=start pool=main name=b discovery=x tier=0 known=3 index=4
time=@00.500000Z level=INFO event=watch pool=main step=told index=4 whole=true entries=3
time=@02.800000Z level=INFO event=upstream pool=main step=aside upstream=u-1 why=errored
time=@07.500000Z level=INFO event=watch pool=main step=told index=5 whole=false entries=1
time=@07.500000Z level=INFO event=list pool=main step=changed joined=1 late=3.5s
time=@08.000000Z level=INFO event=losses pool=main deferred_no_room=1 forfeited_failed=2
time=@10.400000Z level=INFO event=tally pool=main arrived=10 settled=7 deferred=1 forfeited=2
`,
	"c.json": `{"time":"@00.500000Z","level":"INFO","event":"start","pool":"main","name":"c","discovery":"x","tier":1,"index":9}
{"time":"@00.500000Z","level":"INFO","event":"watch","pool":"main","step":"told","index":9,"whole":true}
{"time":"@02.900000Z","level":"INFO","event":"upstream","pool":"main","step":"aside","upstream":"u-1","why":"errored"}
{"time":"@03.900000Z","level":"INFO","event":"watch","pool":"main","step":"told","index":3,"whole":true}
{"time":"@06.000000Z","level":"INFO","event":"tally","pool":"main","arrived":4,"settled":4}
`,
}

// TestSummarize checks all parts of the summary of sampleLogs.
func TestSummarize(t *testing.T) {
	dir := t.TempDir()
	writeFiles(t, dir, sampleLogs)
	summary := summarize(t, dir, Options{Step: time.Second})
	if summary.Balancers != 3 || summary.Lines != 19 || summary.UnreadLines != 0 || summary.Losses["deferred_no_room"] != 6 || summary.Losses["room"] != 0 {
		t.Errorf("%d balancers, %d lines, %d unread, %v", summary.Balancers, summary.Lines, summary.UnreadLines, summary.Losses)
	}
	ejections := summary.Ejections[0]
	if len(summary.Ejections) != 1 || ejections.MaxAtOnce != 3 || ejections.MaxAtSeconds != 2.9 || ejections.Count != 3 ||
		ejections.Reasons["errored"] != 2 || ejections.ReinstatedCold != 1 || ejections.NotReinstated != 2 {
		t.Errorf("ejections: %+v", ejections)
	}
	if row := summary.Rows[2]; row.Balancers["aside"] != 3 || row.Losses["deferred_no_room"] != 5 || row.Alive != 3 || row.Ejected != 3 {
		t.Errorf("the second in which all three balancers ejected u-1: %+v", row)
	}
	// The list of b is outdated from one second after a received version 5 until b receives it. c is in another tier,
	// and its list regressed.
	for k, want := range []int{0, 0, 0, 0, 0, 1, 1, 0} {
		if got := summary.Rows[k].OutdatedLists; got != want {
			t.Errorf("second %d: %d outdated lists, want %d", k, got, want)
		}
	}
	sum := 0.0
	for _, row := range summary.Rows {
		sum += row.Figures["arrived"]
	}
	if int(sum+0.5) != 114 || int(summary.Figures["arrived"]+0.5) != 114 || summary.Rows[3].Figures["arrived"] < 10 {
		t.Errorf("%.1f arrived over all rows, %.1f in the fourth", sum, summary.Rows[3].Figures["arrived"])
	}
	if process := summary.Processes[0]; process.Name != "a" || process.Lost != 5 || process.Arrived != 100 ||
		len(summary.ListDelays) != 1 || summary.ListDelays[0] != 3.5 {
		t.Errorf("%+v, list delays %v", process, summary.ListDelays)
	}
	for _, process := range summary.Processes {
		if process.Name == "c" && process.ListRegressions != 1 {
			t.Errorf("%d regressions of the list of c, want 1", process.ListRegressions)
		}
	}
	for _, version := range summary.Versions {
		if version.Tier == "0" && version.Index == 5 && (version.Balancers != 2 || version.MaxDelay != 3.5 || version.NeverReceived != 0) {
			t.Errorf("version 5: %+v", version)
		}
	}
	var text, page, data bytes.Buffer
	summary.Text(&text, 40)
	if err := summary.HTML(&page); err != nil || !strings.Contains(page.String(), "deferred_no_room") {
		t.Error(err)
	}
	if err := summary.JSON(&data); err != nil || !json.Valid(data.Bytes()) || !strings.Contains(text.String(), "u-1") {
		t.Error(err, text.String())
	}
}

// Options.From and To limit the summary to the events and figures between them.
func TestTimeWindow(t *testing.T) {
	dir := t.TempDir()
	writeFiles(t, dir, sampleLogs)
	summary := summarize(t, dir, Options{Step: 2 * time.Second, From: 6 * time.Second, To: 9 * time.Second})
	if summary.Losses["deferred_no_room"] != 1 || summary.Events["start"] != 0 || len(summary.Rows) != 2 || summary.Figures["arrived"] > 50 {
		t.Errorf("%v %v, %d rows, %v", summary.Losses, summary.Events, len(summary.Rows), summary.Figures)
	}
	logs, _ := Read(dir, func(float64) {})
	if _, err := logs.Summarize(Options{From: time.Hour}); err == nil {
		t.Error("no error for a time after the end of the logs")
	}
}

// Lines that cannot be parsed are skipped, counted and reported with their number.
func TestUnreadableLinesAreReported(t *testing.T) {
	dir := t.TempDir()
	writeFiles(t, dir, map[string]string{
		"a.log": "time=@00.1Z event=start tier=0 name=a\npanic: what\n\ntime=@01Z event=losses deferred_no_room=2\n" +
			"time=never event=losses deferred_no_room=9\ntime=@02Z event=losses at_edge=3\n\"=\n{\"time\":\n" + strings.Repeat("x", maxLineBytes+9) + "\n" +
			"time=@03Z event=losses at_edge=1 dead=\"no end",
		"empty.log": "",
	})
	summary := summarize(t, dir, Options{})
	if summary.Balancers != 1 || summary.Lines != 3 || summary.UnreadLines != 6 || summary.Losses["deferred_no_room"] != 2 || summary.Losses["at_edge"] != 3 {
		t.Errorf("%d balancers, %d lines, %d unread, %v", summary.Balancers, summary.Lines, summary.UnreadLines, summary.Losses)
	}
	if f := summary.ParseErrors[1]; f.File != "a.log" || f.Line != 5 {
		t.Errorf("%v", summary.ParseErrors)
	}
	for _, path := range []string{filepath.Join(dir, "none"), t.TempDir()} {
		if _, err := Read(path, func(float64) {}); err == nil {
			t.Errorf("%s: no error for a directory that is missing or empty", path)
		}
	}
	otherDir := t.TempDir()
	writeFiles(t, otherDir, map[string]string{"x": "hello\n"})
	if _, err := Read(otherDir, func(float64) {}); err == nil || !strings.Contains(err.Error(), "none contains a line of") {
		t.Error(err)
	}
}

// Reading 300 logs of 600 lines takes at most 20 s.
func TestManyFilesWithinTimeLimit(t *testing.T) {
	dir := t.TempDir()
	var text strings.Builder
	for n := range 600 {
		at := time.Date(2026, 1, 2, 3, 4, 0, 0, time.UTC).Add(time.Duration(n) * time.Second).Format(time.RFC3339Nano)
		text.WriteString("time=" + at + " level=INFO event=losses pool=main deferred_no_room=1 dial_first=2 push_settled=9 room=8.5 in_hand=9\n")
	}
	files := map[string]string{}
	for n := range 300 {
		files[string(rune('a'+n%26))+time.Duration(n).String()] = text.String()
	}
	writeFiles(t, dir, files)
	start := time.Now()
	if summary := summarize(t, dir, Options{}); summary.Losses["deferred_no_room"] != 300*600 {
		t.Errorf("%v", summary.Losses)
	}
	if took := time.Since(start); took > 20*time.Second {
		t.Errorf("reading took %v, want at most 20 s", took)
	}
}
