package membership

import "github.com/cespare/xxhash/v2"

// Owner returns the owner of a role by rendezvous hashing: the member with the
// highest weight for it. When a member is removed, only its own roles move. Two
// nodes with different views may both consider themselves the owner, so each role
// must be safe with several owners for a time.
func Owner(role string, among []Member) (Member, bool) {
	var owner Member
	base := xxhash.Sum64String(role)
	best := uint64(0)
	found := false
	for _, member := range among {
		weight := rendezvousWeight(base, member.Name)
		if !found || weight > best || weight == best && member.Name < owner.Name {
			owner, best, found = member, weight, true
		}
	}
	return owner, found
}

// rendezvousWeight hashes the name with the role's hash as seed.
func rendezvousWeight(role uint64, name string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(role)
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}
