package exchange

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"strings"
)

// Identity returns digests that are equal, at all nodes, for requests with the same method, host,
// target, caller and body: the first with the target's query, the second, if there is a query,
// without. caller is the organisation's name, or "". The digest is cryptographic so that no caller
// can make a request that is taken for another caller's.
func Identity(method, host, target, caller string, body []byte) []uint64 {
	content := sha256.Sum256(body)
	digest := func(target string) uint64 {
		h := sha256.New()
		for _, field := range []string{method, strings.ToLower(host), target, caller} {
			// A hash's Write returns no error.
			_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(field))))
			_, _ = h.Write([]byte(field))
		}
		_, _ = h.Write(content[:])
		return binary.BigEndian.Uint64(h.Sum(nil))
	}
	identity := []uint64{digest(target)}
	if path, _, hasQuery := strings.Cut(target, "?"); hasQuery {
		identity = append(identity, digest(path))
	}
	return identity
}

// digest is the request's identity as it is logged, or "".
func (r *Request) digest() string {
	if len(r.Identity) == 0 {
		return ""
	}
	return strconv.FormatUint(r.Identity[0], 16)
}
