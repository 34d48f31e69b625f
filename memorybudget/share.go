package memorybudget

// usage is the state that a decision rests on, in bytes.
type usage struct {
	limit, used int64
	// own is what the reservation has, more is what it asks for, and owner what its largest owner has.
	own, more, owner int64
}

// ownerFactor bounds what one owner may have to this many times what is left: alone it gets two thirds, and a
// second owner always finds room. No number of owners has to be known.
const ownerFactor = 2

// ceiling is the part of the budget up to which large holdings of a kind are allowed. Answers go beyond bodies: a
// request that was run is worth more than one that can be refused. The rest is for small requests.
func ceiling(kind Kind, limit int64) int64 {
	if kind == Answers {
		return limit / 8 * 7
	}
	return limit / 4 * 3
}

// allowed is the rule by which bytes may be held.
func (u usage) allowed(kind Kind) bool {
	if kind == Connections || u.own+u.more <= SmallBytes {
		return u.used+u.more <= u.limit
	}
	left := ceiling(kind, u.limit) - u.used - u.more
	return left >= 0 && (u.owner == 0 || u.owner+u.more <= ownerFactor*(left+u.more))
}
