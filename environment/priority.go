package environment

import "github.com/rotisserie/eris"

// Priority orders requests; a higher one is served first.
type Priority int

// The priorities that callers may ask for.
const (
	Batch Priority = iota
	Normal
	Urgent
)

// ErrPriority is returned for a word that names no priority.
var ErrPriority = eris.New("priority must be urgent, normal or batch")

// ParsePriority turns a header or document word into a Priority.
func ParsePriority(word string) (Priority, error) {
	switch word {
	case "urgent":
		return Urgent, nil
	case "normal":
		return Normal, nil
	case "batch":
		return Batch, nil
	}
	return Normal, ErrPriority
}

// String returns the word for the priority.
func (p Priority) String() string {
	switch p {
	case Urgent:
		return "urgent"
	case Batch:
		return "batch"
	default:
		return "normal"
	}
}
