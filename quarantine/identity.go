package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"strings"
)

// Identity holds digests of a request that are the same at all nodes. They are cryptographic, so that
// no caller can make a request that is taken for another caller's.
type Identity struct {
	// Whole is of the method, host, target, caller, prompt and body.
	Whole uint64
	// Path is the same without the target's query; 0 if there is none.
	Path uint64
}

// NewIdentity returns the identity of a request. caller is the organisation's name and prompt the list
// of the prompt's parts; both may be "".
func NewIdentity(method, host, target, caller, prompt string, body ...[]byte) Identity {
	hash := sha256.New()
	for _, piece := range body {
		_, _ = hash.Write(piece)
	}
	content := hash.Sum(nil)
	digest := func(target string) uint64 {
		h := sha256.New()
		for _, field := range []string{method, strings.ToLower(host), target, caller, prompt} {
			// A hash's Write returns no error.
			_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(field))))
			_, _ = h.Write([]byte(field))
		}
		_, _ = h.Write(content)
		return binary.BigEndian.Uint64(h.Sum(nil))
	}
	identity := Identity{Whole: digest(target)}
	if path, _, hasQuery := strings.Cut(target, "?"); hasQuery {
		identity.Path = digest(path)
	}
	return identity
}

// String is the identity as it is logged, or "" for the zero value.
func (i Identity) String() string {
	if i.Whole == 0 {
		return ""
	}
	return strconv.FormatUint(i.Whole, 16)
}

// Features are those by which a request with the identity can be blocked. Requests that share only
// Path may differ in what matters, so that it counts like a part of a prompt.
func (i Identity) Features() []uint64 {
	var features []uint64
	if i.Whole != 0 {
		features = append(features, RequestFeature(i.Whole))
	}
	if i.Path != 0 {
		features = append(features, PartFeature(i.Path))
	}
	return features
}
