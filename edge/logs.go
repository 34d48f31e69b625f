package edge

import (
	"log"
	"strings"

	"github.com/rs/zerolog"
)

// libraryLog passes the HTTP library's own lines on at debug level: a caller that
// leaves is no news.
type libraryLog struct{ logger zerolog.Logger }

// Write logs one line.
func (l libraryLog) Write(p []byte) (int, error) {
	l.logger.Debug().Str("source", "http").Msg(strings.TrimSpace(string(p)))
	return len(p), nil
}

func quietLog(logger zerolog.Logger) *log.Logger { return log.New(libraryLog{logger: logger}, "", 0) }
