package telemetry

import (
	"io"
	"strconv"
	"sync"
)

// LogWriter forwards log lines without ever blocking the caller: lines that arrive
// faster than they are written are dropped and counted.
type LogWriter struct {
	lines   chan []byte
	done    chan struct{}
	mutex   sync.Mutex
	dropped int64
	closed  bool
}

// NewLogWriter returns a writer that buffers at most capacity lines.
func NewLogWriter(out io.Writer, capacity int) *LogWriter {
	w := &LogWriter{lines: make(chan []byte, capacity), done: make(chan struct{})}
	go w.writeLines(out)
	return w
}

// Write queues one line. It always reports success.
func (w *LogWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed {
		return len(p), nil
	}
	select {
	case w.lines <- line:
	default:
		w.dropped++
	}
	return len(p), nil
}

// Close writes the buffered lines and stops the writer.
func (w *LogWriter) Close() {
	w.mutex.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mutex.Unlock()
	<-w.done
}

// batchBytes is the size at which a batch of lines is written.
const batchBytes = 16 << 10

func (w *LogWriter) writeLines(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		batch := line
		for more := true; more && len(batch) < batchBytes; {
			select {
			case next, ok := <-w.lines:
				batch = append(batch, next...)
				more = ok
			default:
				more = false
			}
		}
		batch = append(batch, w.dropNotice()...)
		// A failed write of the log can't be reported anywhere.
		_, _ = out.Write(batch)
	}
}

// dropNotice returns a log line with the number of lines dropped since the last call, or nil.
func (w *LogWriter) dropNotice() []byte {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.dropped == 0 {
		return nil
	}
	line := `{"level":"warn","dropped":` + strconv.FormatInt(w.dropped, 10) + `,"message":"log lines dropped"}` + "\n"
	w.dropped = 0
	return []byte(line)
}
