// Package resume issues and verifies the signed tokens with which a caller resumes
// an interrupted stream at any entry node.
package resume

import (
	"time"
)

// Token identifies a running stream and who may read it.
type Token struct {
	// RequestID is the request id that the caller sees.
	RequestID string `json:"request"`
	// AttemptID identifies the stream at the engine.
	AttemptID string `json:"attempt"`
	// UpstreamID is the engine's ID in the tables.
	UpstreamID   string `json:"upstream"`
	Organisation string `json:"organisation"`
	Environment  string `json:"environment"`
	Lane         string `json:"lane"`
	// Deadline is the request's deadline, and the token's expiry.
	Deadline time.Time `json:"deadline"`
	// BodyDigest is the SHA-256 digest of the request's body.
	BodyDigest []byte `json:"body_digest"`
}
