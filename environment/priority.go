package environment

import "github.com/rotisserie/eris"

// Priority is the scheduling priority of a request; a higher one is served first.
type Priority int

// The priorities that callers may request.
const (
	Batch Priority = iota
	Normal
	Urgent
)

// ErrUnknownPriority is returned for a word that is not the name of a priority.
var ErrUnknownPriority = eris.New("priority must be urgent, normal or batch")

// ParsePriority parses the name of a priority from a header or a document. Error:
// ErrUnknownPriority.
func ParsePriority(name string) (Priority, error) {
	switch name {
	case "urgent":
		return Urgent, nil
	case "normal":
		return Normal, nil
	case "batch":
		return Batch, nil
	}
	return Normal, ErrUnknownPriority
}

// String returns the name of the priority.
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
