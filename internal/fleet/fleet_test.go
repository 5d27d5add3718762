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

func summarize(t *testing.T, dir string, o Options) *Summary {
	t.Helper()
	l, err := Read(dir, func(float64) {})
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.Summarize(o)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

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

func TestSummarize(t *testing.T) {
	dir := t.TempDir()
	writeFiles(t, dir, sampleLogs)
	c := summarize(t, dir, Options{Step: time.Second})
	if c.Balancers != 3 || c.Lines != 19 || c.UnreadLines != 0 || c.Losses["deferred_no_room"] != 6 || c.Losses["room"] != 0 {
		t.Errorf("%d balancers, %d lines, %d wrong, %v", c.Balancers, c.Lines, c.UnreadLines, c.Losses)
	}
	u := c.Ejections[0]
	if len(c.Ejections) != 1 || u.MaxAtOnce != 3 || u.MaxAtSeconds != 2.9 || u.Count != 3 || u.Reasons["errored"] != 2 || u.ReinstatedCold != 1 || u.NotReinstated != 2 {
		t.Errorf("beliefs: %+v", u)
	}
	if r := c.Rows[2]; r.Balancers["aside"] != 3 || r.Losses["deferred_no_room"] != 5 || r.Alive != 3 || r.Ejected != 3 {
		t.Errorf("the second in which all three set u-1 aside: %+v", r)
	}
	// b is behind from a second after a was told until it is itself; c is in another tier, and its list went back.
	for k, want := range []int{0, 0, 0, 0, 0, 1, 1, 0} {
		if got := c.Rows[k].OutdatedLists; got != want {
			t.Errorf("second %d: %d behind, want %d", k, got, want)
		}
	}
	sum := 0.0
	for _, r := range c.Rows {
		sum += r.Figures["arrived"]
	}
	if int(sum+0.5) != 114 || int(c.Figures["arrived"]+0.5) != 114 || c.Rows[3].Figures["arrived"] < 10 {
		t.Errorf("arrived %.1f over all rows, %.1f in the fourth", sum, c.Rows[3].Figures["arrived"])
	}
	if m := c.Processes[0]; m.Name != "a" || m.Lost != 5 || m.Arrived != 100 || len(c.ListDelays) != 1 || c.ListDelays[0] != 3.5 {
		t.Errorf("%+v, late %v", m, c.ListDelays)
	}
	for _, m := range c.Processes {
		if m.Name == "c" && m.ListRegressions != 1 {
			t.Errorf("c's list went back %d times", m.ListRegressions)
		}
	}
	for _, v := range c.Versions {
		if v.Tier == "0" && v.Index == 5 && (v.Balancers != 2 || v.MaxDelay != 3.5 || v.NeverReceived != 0) {
			t.Errorf("version 5: %+v", v)
		}
	}
	var text, page, data bytes.Buffer
	c.Text(&text, 40)
	if err := c.HTML(&page); err != nil || !strings.Contains(page.String(), "deferred_no_room") {
		t.Error(err)
	}
	if err := c.JSON(&data); err != nil || !json.Valid(data.Bytes()) || !strings.Contains(text.String(), "u-1") {
		t.Error(err, text.String())
	}
}

func TestTimeWindow(t *testing.T) {
	dir := t.TempDir()
	writeFiles(t, dir, sampleLogs)
	c := summarize(t, dir, Options{Step: 2 * time.Second, From: 6 * time.Second, To: 9 * time.Second})
	if c.Losses["deferred_no_room"] != 1 || c.Events["start"] != 0 || len(c.Rows) != 2 || c.Figures["arrived"] > 50 {
		t.Errorf("%v %v, %d rows, %v", c.Losses, c.Events, len(c.Rows), c.Figures)
	}
	l, _ := Read(dir, func(float64) {})
	if _, err := l.Summarize(Options{From: time.Hour}); err == nil {
		t.Error("counted what was never logged")
	}
}

func TestUnreadableLinesAreReported(t *testing.T) {
	dir := t.TempDir()
	writeFiles(t, dir, map[string]string{
		"a.log": "time=@00.1Z event=start tier=0 name=a\npanic: what\n\ntime=@01Z event=losses deferred_no_room=2\n" +
			"time=never event=losses deferred_no_room=9\ntime=@02Z event=losses at_edge=3\n\"=\n{\"time\":\n" + strings.Repeat("x", maxLineBytes+9) + "\n" +
			"time=@03Z event=losses at_edge=1 dead=\"no end",
		"empty.log": "",
	})
	c := summarize(t, dir, Options{})
	if c.Balancers != 1 || c.Lines != 3 || c.UnreadLines != 6 || c.Losses["deferred_no_room"] != 2 || c.Losses["at_edge"] != 3 {
		t.Errorf("%d balancers, %d lines, %d wrong, %v", c.Balancers, c.Lines, c.UnreadLines, c.Losses)
	}
	if f := c.ParseErrors[1]; f.File != "a.log" || f.Line != 5 {
		t.Errorf("%v", c.ParseErrors)
	}
	for _, of := range []string{filepath.Join(dir, "none"), t.TempDir()} {
		if _, err := Read(of, func(float64) {}); err == nil {
			t.Errorf("%s: read", of)
		}
	}
	nothing := t.TempDir()
	writeFiles(t, nothing, map[string]string{"x": "hello\n"})
	if _, err := Read(nothing, func(float64) {}); err == nil || !strings.Contains(err.Error(), "no line of") {
		t.Error(err)
	}
}

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
	if c := summarize(t, dir, Options{}); c.Losses["deferred_no_room"] != 300*600 {
		t.Errorf("%v", c.Losses)
	}
	if took := time.Since(start); took > 20*time.Second {
		t.Errorf("18 MB took %v", took)
	}
}
