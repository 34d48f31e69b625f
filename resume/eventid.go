package resume

import (
	"strconv"
	"strings"
)

// tokenMark stands between the number and the token in the first event's id.
const tokenMark = ";"

// EventID returns the id of event number n, from 1. The first one carries the
// token, so that a client that keeps event ids has it from then on.
func EventID(n int, token string) string {
	if n == 1 && token != "" {
		return "1" + tokenMark + token
	}
	return strconv.Itoa(n)
}

// ParseEventID returns an event's number and the token that its id carries, if
// any. An empty id stands for number 0, before the first event. Errors:
// ErrMalformed.
func ParseEventID(id string) (n int, token string, err error) {
	if id == "" {
		return 0, "", nil
	}
	number, token, _ := strings.Cut(id, tokenMark)
	n, err = strconv.Atoi(number)
	if err != nil || n < 0 || strconv.Itoa(n) != number {
		return 0, "", ErrMalformed
	}
	return n, token, nil
}
