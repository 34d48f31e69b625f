//go:build review

package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func openRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// line writes one line with the time since the start.
func (r *record) line(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	text := fmt.Sprintf("%8.3f s  ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	// The outcome does not depend on the file.
	_, _ = r.file.WriteString(text)
	_, _ = os.Stdout.WriteString(text)
}

func (r *record) close() { _ = r.file.Close() }
