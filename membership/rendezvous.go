package membership

import "github.com/cespare/xxhash/v2"

// Owner returns the member that a role falls to: the one with the highest
// weight for it. When a member goes, only its own roles move. Two nodes with
// different views may both see themselves as owner, so that each role must be
// safe while that lasts.
func Owner(role string, among []Member) (Member, bool) {
	var owner Member
	best := uint64(0)
	found := false
	for _, member := range among {
		weight := weigh(role, member.Name)
		if !found || weight > best || weight == best && member.Name < owner.Name {
			owner, best, found = member, weight, true
		}
	}
	return owner, found
}

func weigh(role, name string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(role)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}
