package edge

import (
	"log"
	"strings"

	"github.com/rs/zerolog"
)

// serverLog writes the HTTP server's own log lines at debug level, since a caller that
// disconnects needs no attention.
type serverLog struct{ logger zerolog.Logger }

// Write logs one line.
func (l serverLog) Write(p []byte) (int, error) {
	l.logger.Debug().Str("source", "http").Msg(strings.TrimSpace(string(p)))
	return len(p), nil
}

func newServerLogger(logger zerolog.Logger) *log.Logger {
	return log.New(serverLog{logger: logger}, "", 0)
}
