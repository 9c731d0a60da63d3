// Package logging configures the process log, which has one line of key=value pairs per event.
package logging

import (
	"fmt"
	"io"
	"unicode/utf8"

	"github.com/phuslu/log"
)

// New returns a logger that writes lines of key=value pairs to out. Level is one of "debug",
// "info", "warn" and "error". If host is not empty, it is added to every line.
func New(out io.Writer, level string, host string) *log.Logger {
	logger := &log.Logger{
		Level:      log.ParseLevel(level),
		TimeField:  "time",
		TimeFormat: log.TimeFormatUnixMs,
		Writer:     &log.ConsoleWriter{Writer: out, Formatter: formatLine},
	}
	if host != "" {
		logger.Context = log.NewContext(nil).Str("host", host).Value()
	}
	return logger
}

// Discard returns a logger that drops every event.
func Discard() *log.Logger {
	return &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}

// maxValueBytes is the largest length of a value. Callers choose some of them, such as ids.
const maxValueBytes = 1024

// truncate cuts a long value at the start of a character and marks the place.
func truncate(value string) string {
	if len(value) <= maxValueBytes {
		return value
	}
	end := maxValueBytes
	for end > maxValueBytes-utf8.UTFMax && !utf8.RuneStart(value[end]) {
		end--
	}
	return value[:end] + "..."
}

func formatLine(out io.Writer, args *log.FormatterArgs) (int, error) {
	line := make([]byte, 0, 256)
	line = fmt.Appendf(line, "time=%s level=%s event=%s", args.Time, args.Level, quote(args.Message))
	for _, pair := range args.KeyValues {
		line = fmt.Appendf(line, " %s=%s", pair.Key, quote(truncate(pair.Value)))
	}
	line = append(line, '\n')
	return out.Write(line)
}

// quote quotes value if it is empty or has a space, quote, equals sign or control character.
func quote(value string) string {
	if value == "" {
		return `""`
	}
	for _, r := range value {
		if r <= ' ' || r == '"' || r == '=' || r == 0x7f {
			return fmt.Sprintf("%q", value)
		}
	}
	return value
}
