// Package logs makes the log: one line an event, key=value text or JSON, on which time, level, event and pool always
// stand.
package logs

import (
	"context"
	"io"
	"log"
	"log/slog"
	"time"
)

// New makes a logger that writes format "text" or "json", and the level that it heeds. Who logs adds the pool: Own for
// what concerns none.
func New(w io.Writer, format string) (*slog.Logger, *slog.LevelVar) {
	level := &slog.LevelVar{}
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) > 0 {
			return a
		}
		switch a.Key {
		case slog.MessageKey:
			a.Key = "event"
		case slog.TimeKey:
			a.Value = slog.StringValue(a.Value.Time().UTC().Format("2006-01-02T15:04:05.000000Z07:00"))
		}
		if d, some := a.Value.Any().(time.Duration); some {
			a.Value = slog.StringValue(d.String()) // JSON has nanoseconds else
		}
		return a
	}}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(w, options)), level
	}
	return slog.New(slog.NewTextHandler(w, options)), level
}

// Own logs what concerns no pool.
func Own(l *slog.Logger) *slog.Logger { return l.With("pool", "-") }

// Level finds a level by its name; what it doesn't know is info.
func Level(name string) (level slog.Level) {
	level.UnmarshalText([]byte(name))
	return level
}

// Lines is a logger for a library that writes lines: each becomes a fault of an event.
func Lines(l *slog.Logger, event string) *log.Logger {
	return slog.NewLogLogger(lines{l.Handler(), event}, slog.LevelWarn)
}

type lines struct {
	slog.Handler
	event string
}

func (h lines) Handle(ctx context.Context, r slog.Record) error {
	out := slog.NewRecord(r.Time, r.Level, h.event, 0)
	out.AddAttrs(slog.String("fault", r.Message))
	return h.Handler.Handle(ctx, out)
}
