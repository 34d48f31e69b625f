package exchange

import (
	"errors"
	"io"
	"sync/atomic"
)

var (
	errBodyTooLong = errors.New("response body exceeds the size limit")
	errNoBuffer    = errors.New("too many response bytes are held at a time")
)

// bufferMemory bounds the bytes of all response bodies that are held at a time, so that
// upstreams that send long bodies can't exhaust the process's memory.
type bufferMemory struct{ left atomic.Int64 }

func newBufferMemory(bytes int64) *bufferMemory {
	m := &bufferMemory{}
	m.left.Store(bytes)
	return m
}

const (
	// bufferStep is the least size in which a body's memory is taken.
	bufferStep = 16 << 10
	// growthDivisor is the part of a long body by which its memory grows, so that a byte is copied a few times only.
	growthDivisor = 4
)

// read reads a whole body of at most limit bytes. The caller calls release when the body
// is no longer needed, also after an error.
func (m *bufferMemory) read(body io.Reader, limit int64) (data []byte, release func(), err error) {
	taken := int64(0)
	release = func() { m.left.Add(taken) }
	for {
		if len(data) == cap(data) {
			step := max(bufferStep, len(data)/growthDivisor)
			if m.left.Add(-int64(step)) < 0 {
				m.left.Add(int64(step))
				return nil, release, errNoBuffer
			}
			taken += int64(step)
			grown := make([]byte, len(data), len(data)+step)
			copy(grown, data)
			data = grown
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, release, errBodyTooLong
		case err == io.EOF: //nolint:errorlint // A wrapped io.EOF is not the end of the body.
			return data, release, nil
		case err != nil:
			return nil, release, err
		}
	}
}

// discard reads a body of at most limit bytes to its end and reports whether it ended.
func discard(body io.Reader, limit int64) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	return err == nil && n <= limit
}
