package connguard

const (
	// freeHeadBytes is the memory of a usual head, which is counted with its connection.
	freeHeadBytes = 4 << 10
	// fieldBytes is what a field of a head takes as an entry of a map, with its key and list of values.
	fieldBytes = 160
	// byteFactor is the memory for each byte of a head: as it was read, as text, as it is sent on.
	byteFactor = 3
)

// headMeter estimates the memory of a head while it arrives.
type headMeter struct {
	bytes, fields int
	// lineBytes is the length of the current line; ended is true after the empty line.
	lineBytes int
	ended     bool
}

// add counts bytes of a head. What follows its end is not counted.
func (m *headMeter) add(data []byte) {
	for _, c := range data {
		if m.ended {
			return
		}
		m.bytes++
		switch {
		case c == '\r':
		case c != '\n':
			m.lineBytes++
		case m.lineBytes == 0 && m.fields > 0:
			m.ended = true
		default:
			m.fields++
			m.lineBytes = 0
		}
	}
}

// cost is the memory over that of a usual head.
func (m *headMeter) cost() int64 {
	return max(0, int64(m.bytes)*byteFactor+int64(m.fields)*fieldBytes-freeHeadBytes)
}
