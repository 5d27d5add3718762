package meshctl

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"ottershift/internal/mesh/routing"
)

// call is an operator's call, at one process after the other as long as the answer is unclear.
func (k *client) call(call string, on int64, body []byte) ([]byte, error) {
	if err := k.need(); err != nil {
		return nil, err
	}
	var all errs.Group
	for range 3 {
		for _, at := range k.seeds {
			r, err := http.NewRequest(http.MethodPost, "http://"+at+"/-/rpc?call="+call, strings.NewReader(string(body)))
			if err != nil {
				return nil, Error.Wrap(err)
			}
			r.Header.Set("Content-Type", "application/json")
			if on >= 0 {
				r.Header.Set("If-Match", strconv.FormatInt(on, 10))
			}
			w, err := (&http.Client{Timeout: k.wait}).Do(r)
			if err != nil {
				all.Add(Error.New("%s: %v", at, err))
				continue
			}
			text, err := io.ReadAll(w.Body)
			w.Body.Close()
			switch {
			case err == nil && w.StatusCode == http.StatusOK:
				return text, nil
			case err == nil && w.StatusCode < 500:
				return nil, &coded{Error.New("%s: %s", at, strings.TrimSpace(string(text))), Refused}
			}
			all.Add(Error.New("%s: %d %s", at, w.StatusCode, strings.TrimSpace(string(text))))
		}
	}
	return nil, &coded{Error.New("nobody gave a clear answer; it may or may not count: %v", all.Err()), Unclear}
}

func (k *client) fetch() error {
	text, err := k.call("timetable.fetch", -1, nil)
	if err != nil {
		return err
	}
	if t, err := routing.Load(text); err == nil && t.Ambiguities() != nil {
		fmt.Fprintf(os.Stderr, "in force, and refused as the next change, since it means two things:\n%v\n", t.Ambiguities())
	}
	_, err = fmt.Fprintln(k.out, string(text))
	return err
}

func read(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

func (k *client) put(call, file string, on int64) error {
	body, err := read(file)
	if err != nil {
		return Error.Wrap(err)
	}
	if on < 0 {
		now, err := k.current()
		if err != nil {
			return err
		}
		on = now
	}
	if _, err := k.call(call, on, body); err != nil {
		return err
	}
	_, err = fmt.Fprintf(k.out, "taken on top of version %d\n", on)
	return err
}

// current is the version that is, 0 for none yet.
func (k *client) current() (int64, error) {
	text, err := k.call("timetable.fetch", -1, nil)
	if c, is := err.(*coded); is && c.code == Refused {
		return 0, nil // nothing has been put yet
	}
	if err != nil {
		return 0, err
	}
	t, err := routing.Load(text)
	if err != nil {
		return 0, err
	}
	return t.Edition, nil
}

func (k *client) check(file string) error {
	body, err := read(file)
	if err != nil {
		return Error.Wrap(err)
	}
	t, err := routing.Parse(body)
	if err != nil {
		return &coded{err, Refused}
	}
	_, err = fmt.Fprintf(k.out, "%s: version %d, %d routes, %d services, %d tenants\n", file, t.Edition, len(t.Routes), len(t.Services), len(t.Tenants))
	return err
}

// diff names what a file would add, alter and take away.
func (k *client) diff(file string) error {
	body, err := read(file)
	if err != nil {
		return Error.Wrap(err)
	}
	next, err := routing.Parse(body)
	if err != nil {
		return &coded{err, Refused}
	}
	text, err := k.call("timetable.fetch", -1, nil)
	if err != nil {
		return err
	}
	now, err := routing.Load(text)
	if err != nil {
		return err
	}
	lines := routing.Diff(now, next)
	if k.json {
		return k.raw(lines)
	}
	for _, l := range lines {
		fmt.Fprintln(k.out, l)
	}
	return nil
}
