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
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: func(groups []string, attr slog.Attr) slog.Attr {
		if len(groups) > 0 {
			return attr
		}
		switch attr.Key {
		case slog.MessageKey:
			attr.Key = "event"
		case slog.TimeKey:
			attr.Value = slog.StringValue(attr.Value.Time().UTC().Format("2006-01-02T15:04:05.000000Z07:00"))
		}
		if duration, isDuration := attr.Value.Any().(time.Duration); isDuration {
			attr.Value = slog.StringValue(duration.String()) // JSON has nanoseconds else
		}
		return attr
	}}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(w, options)), level
	}
	return slog.New(slog.NewTextHandler(w, options)), level
}

// WithoutPool logs what concerns no pool.
func WithoutPool(logger *slog.Logger) *slog.Logger { return logger.With("pool", "-") }

// ParseLevel finds a level by its name; what it doesn't know is info.
func ParseLevel(name string) (level slog.Level) {
	level.UnmarshalText([]byte(name))
	return level
}

// NewLineLogger is a logger for a library that writes lines: each becomes a fault of an event.
func NewLineLogger(logger *slog.Logger, event string) *log.Logger {
	return slog.NewLogLogger(lineHandler{logger.Handler(), event}, slog.LevelWarn)
}

type lineHandler struct {
	slog.Handler
	event string
}

func (handler lineHandler) Handle(ctx context.Context, record slog.Record) error {
	out := slog.NewRecord(record.Time, record.Level, handler.event, 0)
	out.AddAttrs(slog.String("fault", record.Message))
	return handler.Handler.Handle(ctx, out)
}
