package resume

import (
	"strconv"
	"strings"
)

// tokenSeparator separates the number from the token in the first event's id.
const tokenSeparator = ";"

// EventID returns the id of event number n; n starts at 1. The first id carries
// the token, so that a client that stores event ids has it from the first event.
func EventID(n int, token string) string {
	if n == 1 && token != "" {
		return "1" + tokenSeparator + token
	}
	return strconv.Itoa(n)
}

// ParseEventID returns the event number and the token, if any, of an event id. An
// empty id means number 0, before the first event. Errors: ErrMalformed.
func ParseEventID(id string) (n int, token string, err error) {
	if id == "" {
		return 0, "", nil
	}
	number, token, _ := strings.Cut(id, tokenSeparator)
	n, err = strconv.Atoi(number)
	if err != nil || n < 0 || strconv.Itoa(n) != number {
		return 0, "", ErrMalformed
	}
	return n, token, nil
}
