package membership

import "github.com/cespare/xxhash/v2"

// Owner returns the member that a role falls to: the one with the highest
// weight for it. When a member goes, only its own roles move. Two nodes with
// different views may both see themselves as owner, so that each role must be
// safe while that lasts.
func Owner(role string, among []Member) (Member, bool) {
	var owner Member
	base := xxhash.Sum64String(role)
	best := uint64(0)
	found := false
	for _, member := range among {
		weight := weigh(base, member.Name)
		if !found || weight > best || weight == best && member.Name < owner.Name {
			owner, best, found = member, weight, true
		}
	}
	return owner, found
}

// weigh mixes the role's hash into the name's.
func weigh(role uint64, name string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(role)
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}
