// Package budgetrpc carries the messages of package budget between nodes: the
// codec, the service that a keeper answers by, and the loop of a client.
//
// Lock order: Node.mutex is a leaf; no call to another node is made under it.
package budgetrpc

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/budget"
)

const (
	// kvUnit is the number of tokens in one unit of KV memory on the wire.
	kvUnit = 256
	// ageUnit is the unit of an age on the wire.
	ageUnit = 100 * time.Millisecond
	// maxAge is the largest age on the wire in ageUnits, 27 min. It is longer
	// than any ramp.
	maxAge = 1<<14 - 1
	// lifetimePercent is added to a share's lifetime for its lease's end.
	lifetimePercent = 3
)

// ErrMalformed is returned for a message whose columns don't fit each other.
var ErrMalformed = eris.New("budgetrpc: malformed message")

// ErrOvertaken is returned for a report that is a repeat or came after a later
// one.
var ErrOvertaken = eris.New("budgetrpc: report overtaken")

// Names finds a resource by the digest of its name.
type Names map[uint32]string

// NewNames returns the digests of names. Of names with the same digest none is
// found, so that they get no share rather than each other's.
func NewNames(names []string) Names {
	digests := Names{}
	for _, name := range names {
		digest := digestOf(name)
		if other, ok := digests[digest]; ok && other != name {
			name = ""
		}
		digests[digest] = name
	}
	return digests
}

func digestOf(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// EncodeReport returns the message for a report. What is in use is rounded up.
func EncodeReport(report budget.Report) *ReportRequest {
	request := &ReportRequest{
		Node:      report.Node,
		Sequence:  report.Sequence,
		Keeper:    report.Keeper,
		Echo:      uint64(report.Echo / time.Millisecond),
		Idle:      make([]byte, (len(report.Usages)+7)/8),
		Unchanged: make([]byte, (len(report.Usages)+7)/8),
	}
	for i, usage := range report.Usages {
		request.Resources = append(request.Resources, digestOf(usage.Resource))
		setBit(request.Idle, i, usage.Idle)
		setBit(request.Unchanged, i, usage.Unchanged)
		request.appendAmounts(usage)
		request.StartNumber = append(request.StartNumber, uint32(usage.Start.Number))
		request.StartAge = append(request.StartAge, ageUnits(usage.Start.Age))
	}
	request.trim()
	return request
}

func (x *ReportRequest) appendAmounts(u budget.Usage) {
	x.RunningSlots = append(x.RunningSlots, uint32(u.Running.Slots))
	x.RunningKv = append(x.RunningKv, unitsUp(u.Running.KVTokens))
	x.WaitingSlots = append(x.WaitingSlots, uint32(u.Waiting.Slots))
	x.WaitingKv = append(x.WaitingKv, unitsUp(u.Waiting.KVTokens))
	x.NextKv = append(x.NextKv, unitsUp(u.Next.KVTokens))
	x.HeldSlots = append(x.HeldSlots, uint32(u.Held.Slots))
	x.HeldKv = append(x.HeldKv, unitsUp(u.Held.KVTokens))
	x.FallbackSlots = append(x.FallbackSlots, uint32(u.Fallback.Slots))
	x.FallbackKv = append(x.FallbackKv, unitsUp(u.Fallback.KVTokens))
	x.StandbySlots = append(x.StandbySlots, uint32(u.Standby.Slots))
	x.StandbyKv = append(x.StandbyKv, unitsUp(u.Standby.KVTokens))
}

func (x *ReportRequest) trim() {
	for _, column := range x.columns() {
		*column = trimmed(*column)
	}
	x.Idle = trimmed(x.Idle)
	x.Unchanged = trimmed(x.Unchanged)
}

func (x *ReportRequest) columns() []*[]uint32 {
	return []*[]uint32{
		&x.RunningSlots, &x.RunningKv, &x.WaitingSlots, &x.WaitingKv, &x.NextKv, &x.HeldSlots,
		&x.HeldKv, &x.FallbackSlots, &x.FallbackKv, &x.StandbySlots, &x.StandbyKv, &x.StartNumber, &x.StartAge,
	}
}

// DecodeReport returns the report in a message, and which of its rows name no
// known resource; their usages have an empty name. Errors: ErrMalformed.
func DecodeReport(request *ReportRequest, names Names) (budget.Report, error) {
	report := budget.Report{
		Node:     request.Node,
		Sequence: request.Sequence,
		Keeper:   request.Keeper,
		Echo:     time.Duration(request.Echo) * time.Millisecond,
	}
	for _, column := range request.columns() {
		if len(*column) > len(request.Resources) {
			return budget.Report{}, ErrMalformed
		}
	}
	for i, digest := range request.Resources {
		usage := request.usage(i)
		usage.Resource = names[digest]
		report.Usages = append(report.Usages, usage)
	}
	return report, nil
}

func (x *ReportRequest) usage(i int) budget.Usage {
	return budget.Usage{
		Running:   amount(x.RunningSlots, x.RunningKv, i),
		Waiting:   amount(x.WaitingSlots, x.WaitingKv, i),
		Next:      amount(nil, x.NextKv, i),
		Held:      amount(x.HeldSlots, x.HeldKv, i),
		Fallback:  amount(x.FallbackSlots, x.FallbackKv, i),
		Standby:   amount(x.StandbySlots, x.StandbyKv, i),
		Idle:      bit(x.Idle, i),
		Unchanged: bit(x.Unchanged, i),
		Start:     startAt(x.StartNumber, x.StartAge, i),
	}
}

// EncodeAnswer returns the message for an answer to a report that names a
// keeper. Shares are rounded down.
func EncodeAnswer(answer budget.Answer, keeper string) *ReportResponse {
	response := &ReportResponse{
		Sequence: answer.Sequence,
		Clock:    uint64(answer.Clock / time.Millisecond),
	}
	if answer.Keeper != keeper {
		response.Keeper = answer.Keeper
	}
	for _, grant := range answer.Grants {
		response.ShareSlots = append(response.ShareSlots, uint32(grant.Share.Slots))
		response.ShareKv = append(response.ShareKv, uint32(grant.Share.KVTokens/kvUnit))
		response.Lifetime = append(response.Lifetime, uint32(grant.Lifetime/time.Millisecond))
		response.FallbackSlots = append(response.FallbackSlots, uint32(grant.Fallback.Slots))
		response.FallbackKv = append(response.FallbackKv, uint32(grant.Fallback.KVTokens/kvUnit))
		response.StandbySlots = append(response.StandbySlots, uint32(grant.Standby.Slots))
		response.StandbyKv = append(response.StandbyKv, uint32(grant.Standby.KVTokens/kvUnit))
		response.LeaseMore = append(response.LeaseMore, leaseMore(grant))
		response.StartNumber = append(response.StartNumber, uint32(grant.Start.Number))
		response.StartAge = append(response.StartAge, ageUnits(grant.Start.Age))
	}
	for _, column := range response.columns() {
		*column = trimmed(*column)
	}
	return response
}

func (x *ReportResponse) columns() []*[]uint32 {
	return []*[]uint32{
		&x.ShareSlots, &x.ShareKv, &x.Lifetime, &x.FallbackSlots, &x.FallbackKv, &x.StandbySlots, &x.StandbyKv,
		&x.LeaseMore, &x.StartNumber, &x.StartAge,
	}
}

// DecodeAnswer returns the answer to a report. Errors: ErrMalformed.
func DecodeAnswer(response *ReportResponse, report budget.Report) (budget.Answer, error) {
	answer := budget.Answer{
		Sequence: response.Sequence,
		Keeper:   cmp.Or(response.Keeper, report.Keeper),
		Clock:    time.Duration(response.Clock) * time.Millisecond,
	}
	for _, column := range response.columns() {
		if len(*column) > len(report.Usages) {
			return budget.Answer{}, ErrMalformed
		}
	}
	for i, usage := range report.Usages {
		lifetime := milliseconds(response.Lifetime, i)
		answer.Grants = append(answer.Grants, budget.Grant{
			Resource:  usage.Resource,
			Share:     amount(response.ShareSlots, response.ShareKv, i),
			Lifetime:  lifetime,
			Fallback:  amount(response.FallbackSlots, response.FallbackKv, i),
			Standby:   amount(response.StandbySlots, response.StandbyKv, i),
			LeaseLeft: shareEnd(lifetime) + milliseconds(response.LeaseMore, i),
			Start:     startAt(response.StartNumber, response.StartAge, i),
		})
	}
	return answer, nil
}

// at returns a value of a column whose zeros at the end are not sent.
func at(column []uint32, i int) uint32 {
	if i >= len(column) {
		return 0
	}
	return column[i]
}

func milliseconds(column []uint32, i int) time.Duration {
	return time.Duration(at(column, i)) * time.Millisecond
}

// shareEnd is the earliest end of a lease whose share has a lifetime: what
// clocks may disagree by is left out of lifetimes.
func shareEnd(lifetime time.Duration) time.Duration {
	return lifetime + lifetime*lifetimePercent/100
}

// leaseMore is how much longer than shareEnd the lease lasts, rounded up.
func leaseMore(grant budget.Grant) uint32 {
	end := shareEnd(grant.Lifetime.Truncate(time.Millisecond))
	more := grant.LeaseLeft - end + time.Millisecond - 1
	return uint32(max(more, 0) / time.Millisecond)
}

func amount(slots, memory []uint32, i int) budget.Amount {
	return budget.Amount{Slots: int(at(slots, i)), KVTokens: int(at(memory, i)) * kvUnit}
}

func startAt(numbers, ages []uint32, i int) budget.Start {
	return budget.Start{Number: uint64(at(numbers, i)), Age: time.Duration(at(ages, i)) * ageUnit}
}

func unitsUp(tokens int) uint32 {
	return uint32((tokens + kvUnit - 1) / kvUnit)
}

func ageUnits(age time.Duration) uint32 {
	return uint32(min(max(age, 0)/ageUnit, maxAge))
}

func setBit(bits []byte, i int, on bool) {
	if on {
		bits[i/8] |= 1 << (i % 8)
	}
}

func bit(bits []byte, i int) bool {
	return i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0
}

func trimmed[T byte | uint32](column []T) []T {
	last := len(column)
	for last > 0 && column[last-1] == 0 {
		last--
	}
	return slices.Clip(column[:last])
}
