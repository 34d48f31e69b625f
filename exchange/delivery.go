package exchange

import "github.com/rs/zerolog"

// Framing says what marks the end of a response's body.
type Framing string

// Framings.
const (
	LengthStated   Framing = "length"
	Chunked        Framing = "chunked"
	CloseDelimited Framing = "close"
)

// Delivery says how a response arrived, and so how far it proves that it is whole and the request's own.
type Delivery struct {
	Framing Framing
	// Reused is true if the connection had carried an earlier exchange.
	Reused bool
	// Identified is true if the response bears the request's ID.
	Identified bool
	// Skipped is the number of responses before it that belong to other requests.
	Skipped int
}

// log adds the delivery to a log line; without a response there is none.
func (d Delivery) log(event *zerolog.Event) *zerolog.Event {
	if d.Framing == "" {
		return event
	}
	return event.Str("framing", string(d.Framing)).Bool("connection_reused", d.Reused).Bool("identified", d.Identified).
		Int("responses_skipped", d.Skipped)
}
