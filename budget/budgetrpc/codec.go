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
	response.SameShare = make([]byte, (len(answer.Grants)+7)/8)
	response.SameAside = make([]byte, (len(answer.Grants)+7)/8)
	for i, grant := range answer.Grants {
		setBit(response.SameShare, i, grant.SameShare)
		setBit(response.SameAside, i, grant.SameAside)
		response.appendAmounts(grant)
		response.Lifetime = append(response.Lifetime, uint32(grant.Lifetime/time.Millisecond))
		response.StandbyIn = append(response.StandbyIn, millisecondsUp(grant.StandbyIn))
		response.StartNumber = append(response.StartNumber, uint32(grant.Start.Number))
		response.StartAge = append(response.StartAge, ageUnits(grant.Start.Age))
	}
	response.joinDurations()
	for _, column := range response.columns() {
		*column = trimmed(*column)
	}
	response.SameShare = trimmed(response.SameShare)
	response.SameAside = trimmed(response.SameAside)
	return response
}

// appendAmounts adds what the node doesn't hold already.
func (x *ReportResponse) appendAmounts(grant budget.Grant) {
	if !grant.SameShare {
		x.ShareSlots = append(x.ShareSlots, uint32(grant.Share.Slots))
		x.ShareKv = append(x.ShareKv, uint32(grant.Share.KVTokens/kvUnit))
	}
	if !grant.SameAside {
		x.FallbackSlots = append(x.FallbackSlots, uint32(grant.Fallback.Slots))
		x.FallbackKv = append(x.FallbackKv, uint32(grant.Fallback.KVTokens/kvUnit))
		x.StandbySlots = append(x.StandbySlots, uint32(grant.Standby.Slots))
		x.StandbyKv = append(x.StandbyKv, uint32(grant.Standby.KVTokens/kvUnit))
	}
}

// joinDurations sends one duration where all are equal, as they mostly are within
// a lease.
func (x *ReportResponse) joinDurations() {
	x.LifetimeOfAll, x.Lifetime = joined(x.Lifetime)
	x.StandbyInOfAll, x.StandbyIn = joined(x.StandbyIn)
}

func joined(column []uint32) (ofAll uint32, rest []uint32) {
	if len(column) == 0 || slices.Min(column) != slices.Max(column) {
		return 0, column
	}
	return column[0], nil
}

// durationOf is one duration of a column or that of all.
func durationOf(column []uint32, ofAll uint32, i int) time.Duration {
	if len(column) == 0 {
		return time.Duration(ofAll) * time.Millisecond
	}
	return milliseconds(column, i)
}

func milliseconds(column []uint32, i int) time.Duration {
	return time.Duration(at(column, i)) * time.Millisecond
}

func (x *ReportResponse) columns() []*[]uint32 {
	return []*[]uint32{
		&x.ShareSlots, &x.ShareKv, &x.Lifetime, &x.FallbackSlots, &x.FallbackKv, &x.StandbySlots, &x.StandbyKv,
		&x.StandbyIn, &x.StartNumber, &x.StartAge,
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
	shares, asides := 0, 0
	for i, usage := range report.Usages {
		grant := response.grant(i, usage.Resource)
		if !grant.SameShare {
			grant.Share = amount(response.ShareSlots, response.ShareKv, shares)
			shares++
		}
		if !grant.SameAside {
			grant.Fallback = amount(response.FallbackSlots, response.FallbackKv, asides)
			grant.Standby = amount(response.StandbySlots, response.StandbyKv, asides)
			asides++
		}
		answer.Grants = append(answer.Grants, grant)
	}
	return answer, nil
}

// grant returns one grant without its amounts.
func (x *ReportResponse) grant(i int, resource string) budget.Grant {
	return budget.Grant{
		Resource:  resource,
		SameShare: bit(x.SameShare, i),
		SameAside: bit(x.SameAside, i),
		Lifetime:  durationOf(x.Lifetime, x.LifetimeOfAll, i),
		StandbyIn: durationOf(x.StandbyIn, x.StandbyInOfAll, i),
		Start:     startAt(x.StartNumber, x.StartAge, i),
	}
}

// at returns a value of a column whose zeros at the end are not sent.
func at(column []uint32, i int) uint32 {
	if i >= len(column) {
		return 0
	}
	return column[i]
}

// millisecondsUp returns a duration rounded up.
func millisecondsUp(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
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
