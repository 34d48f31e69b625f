package telemetry

import (
	"io"
	"strconv"
	"sync"
)

// LogWriter passes log lines on without ever blocking the writer: lines that come
// faster than they are written are dropped and counted.
type LogWriter struct {
	lines   chan []byte
	done    chan struct{}
	mutex   sync.Mutex
	dropped int64
	closed  bool
}

// NewLogWriter returns a writer that holds at most capacity lines.
func NewLogWriter(out io.Writer, capacity int) *LogWriter {
	w := &LogWriter{lines: make(chan []byte, capacity), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write takes one line. It always reports success.
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

// Close writes what is held.
func (w *LogWriter) Close() {
	w.mutex.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mutex.Unlock()
	<-w.done
}

// batchBytes is how much is gathered for one write.
const batchBytes = 16 << 10

func (w *LogWriter) run(out io.Writer) {
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
		batch = append(batch, w.lost()...)
		// There is nowhere to tell of a log that can't be written.
		_, _ = out.Write(batch)
	}
}

// lost returns a line on the lines that were dropped since the last one.
func (w *LogWriter) lost() []byte {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.dropped == 0 {
		return nil
	}
	line := `{"level":"warn","dropped":` + strconv.FormatInt(w.dropped, 10) + `,"message":"log lines dropped"}` + "\n"
	w.dropped = 0
	return []byte(line)
}
