// Package logs configures the log: one line per event as key=value text or JSON, always with time, level, event and pool.
package logs

import (
	"context"
	"io"
	"log"
	"log/slog"
	"time"
)

// New returns a logger for the format "text" or "json", and the variable that sets its level. Callers add the attribute
// pool, or use WithoutPool for events that belong to no pool.
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
			attr.Value = slog.StringValue(duration.String()) // the JSON handler would write nanoseconds
		}
		return attr
	}}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(w, options)), level
	}
	return slog.New(slog.NewTextHandler(w, options)), level
}

// WithoutPool returns a logger for events that belong to no pool.
func WithoutPool(logger *slog.Logger) *slog.Logger { return logger.With("pool", "-") }

// ParseLevel returns the level with the given name, or info for an unknown name.
func ParseLevel(name string) (level slog.Level) {
	level.UnmarshalText([]byte(name))
	return level
}

// NewLineLogger returns a logger for libraries that use package log. Each line becomes a warning with the given event
// and the line as its fault.
func NewLineLogger(logger *slog.Logger, event string) *log.Logger {
	return slog.NewLogLogger(lineHandler{logger.Handler(), event}, slog.LevelWarn)
}

// lineHandler is a slog.Handler that moves the message of a record into the attribute fault.
type lineHandler struct {
	slog.Handler
	event string
}

// Handle implements slog.Handler.
func (handler lineHandler) Handle(ctx context.Context, record slog.Record) error {
	out := slog.NewRecord(record.Time, record.Level, handler.event, 0)
	out.AddAttrs(slog.String("fault", record.Message))
	return handler.Handler.Handle(ctx, out)
}
