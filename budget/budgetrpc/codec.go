// Package budgetrpc carries the messages of package budget between nodes. It
// contains the codec, the service by which an allocator answers reports, and
// the client's report loop.
//
// Lock order: Node.mutex is a leaf; no call to another node is made while it is
// held.
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

// ErrMalformed is returned for a message that cannot be decoded or whose
// columns have inconsistent lengths.
var ErrMalformed = eris.New("budgetrpc: malformed message")

// ErrStaleReport is returned for a report that is a repeat or arrived after a
// later one.
var ErrStaleReport = eris.New("budgetrpc: report is a repeat or arrived after a later one")

// ResourceNames maps the digest of a resource's name to the name.
type ResourceNames map[uint32]string

// NewResourceNames returns the digests of names. Names that share a digest are
// not found, so that they get no share rather than each other's.
func NewResourceNames(names []string) ResourceNames {
	digests := ResourceNames{}
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

// EncodeReport returns the message for a report. KV memory is rounded up.
func EncodeReport(report budget.Report) *ReportRequest {
	request := &ReportRequest{
		Node:      report.Node,
		Sequence:  report.Sequence,
		Keeper:    report.Allocator,
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
	x.RunningKv = append(x.RunningKv, ceilKVUnits(u.Running.KVTokens))
	x.WaitingSlots = append(x.WaitingSlots, uint32(u.Waiting.Slots))
	x.WaitingKv = append(x.WaitingKv, ceilKVUnits(u.Waiting.KVTokens))
	x.NextKv = append(x.NextKv, ceilKVUnits(u.Next.KVTokens))
	x.HeldSlots = append(x.HeldSlots, uint32(u.Held.Slots))
	x.HeldKv = append(x.HeldKv, ceilKVUnits(u.Held.KVTokens))
	x.FallbackSlots = append(x.FallbackSlots, uint32(u.Fallback.Slots))
	x.FallbackKv = append(x.FallbackKv, ceilKVUnits(u.Fallback.KVTokens))
	x.StandbySlots = append(x.StandbySlots, uint32(u.Standby.Slots))
	x.StandbyKv = append(x.StandbyKv, ceilKVUnits(u.Standby.KVTokens))
}

func (x *ReportRequest) trim() {
	for _, column := range x.columns() {
		*column = trimTrailingZeros(*column)
	}
	x.Idle = trimTrailingZeros(x.Idle)
	x.Unchanged = trimTrailingZeros(x.Unchanged)
}

func (x *ReportRequest) columns() []*[]uint32 {
	return []*[]uint32{
		&x.RunningSlots, &x.RunningKv, &x.WaitingSlots, &x.WaitingKv, &x.NextKv, &x.HeldSlots,
		&x.HeldKv, &x.FallbackSlots, &x.FallbackKv, &x.StandbySlots, &x.StandbyKv, &x.StartNumber, &x.StartAge,
	}
}

// DecodeReport returns the report in a message. Usages of unknown resources
// have an empty resource name. Errors: ErrMalformed.
func DecodeReport(request *ReportRequest, names ResourceNames) (budget.Report, error) {
	report := budget.Report{
		Node:      request.Node,
		Sequence:  request.Sequence,
		Allocator: request.Keeper,
		Echo:      time.Duration(request.Echo) * time.Millisecond,
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
		Running:   amountAt(x.RunningSlots, x.RunningKv, i),
		Waiting:   amountAt(x.WaitingSlots, x.WaitingKv, i),
		Next:      amountAt(nil, x.NextKv, i),
		Held:      amountAt(x.HeldSlots, x.HeldKv, i),
		Fallback:  amountAt(x.FallbackSlots, x.FallbackKv, i),
		Standby:   amountAt(x.StandbySlots, x.StandbyKv, i),
		Idle:      bit(x.Idle, i),
		Unchanged: bit(x.Unchanged, i),
		Start:     startAt(x.StartNumber, x.StartAge, i),
	}
}

// EncodeAnswer returns the message for an answer to a report that names an
// allocator. Shares are rounded down.
func EncodeAnswer(answer budget.Answer, allocator string) *ReportResponse {
	response := &ReportResponse{
		Sequence: answer.Sequence,
		Clock:    uint64(answer.Clock / time.Millisecond),
	}
	if answer.Allocator != allocator {
		response.Keeper = answer.Allocator
	}
	response.SameShare = make([]byte, (len(answer.Grants)+7)/8)
	response.SameAside = make([]byte, (len(answer.Grants)+7)/8)
	for i, grant := range answer.Grants {
		setBit(response.SameShare, i, grant.SameShare)
		setBit(response.SameAside, i, grant.SameReserve)
		response.appendAmounts(grant)
		response.Lifetime = append(response.Lifetime, uint32(grant.Lifetime/time.Millisecond))
		response.StandbyIn = append(response.StandbyIn, ceilMilliseconds(grant.StandbyIn))
		response.StartNumber = append(response.StartNumber, uint32(grant.Start.Number))
		response.StartAge = append(response.StartAge, ageUnits(grant.Start.Age))
	}
	response.collapseDurations()
	for _, column := range response.columns() {
		*column = trimTrailingZeros(*column)
	}
	response.SameShare = trimTrailingZeros(response.SameShare)
	response.SameAside = trimTrailingZeros(response.SameAside)
	return response
}

// appendAmounts appends the amounts that the node does not hold already.
func (x *ReportResponse) appendAmounts(grant budget.Grant) {
	if !grant.SameShare {
		x.ShareSlots = append(x.ShareSlots, uint32(grant.Share.Slots))
		x.ShareKv = append(x.ShareKv, uint32(grant.Share.KVTokens/kvUnit))
	}
	if !grant.SameReserve {
		x.FallbackSlots = append(x.FallbackSlots, uint32(grant.Fallback.Slots))
		x.FallbackKv = append(x.FallbackKv, uint32(grant.Fallback.KVTokens/kvUnit))
		x.StandbySlots = append(x.StandbySlots, uint32(grant.Standby.Slots))
		x.StandbyKv = append(x.StandbyKv, uint32(grant.Standby.KVTokens/kvUnit))
	}
}

// collapseDurations sends one duration where all are equal, as they mostly are
// within a lease.
func (x *ReportResponse) collapseDurations() {
	x.LifetimeOfAll, x.Lifetime = collapse(x.Lifetime)
	x.StandbyInOfAll, x.StandbyIn = collapse(x.StandbyIn)
}

func collapse(column []uint32) (ofAll uint32, rest []uint32) {
	if len(column) == 0 || slices.Min(column) != slices.Max(column) {
		return 0, column
	}
	return column[0], nil
}

// durationOf returns one duration of a column, or the common one.
func durationOf(column []uint32, ofAll uint32, i int) time.Duration {
	if len(column) == 0 {
		return time.Duration(ofAll) * time.Millisecond
	}
	return milliseconds(column, i)
}

func milliseconds(column []uint32, i int) time.Duration {
	return time.Duration(valueAt(column, i)) * time.Millisecond
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
		Sequence:  response.Sequence,
		Allocator: cmp.Or(response.Keeper, report.Allocator),
		Clock:     time.Duration(response.Clock) * time.Millisecond,
	}
	for _, column := range response.columns() {
		if len(*column) > len(report.Usages) {
			return budget.Answer{}, ErrMalformed
		}
	}
	shares, reserves := 0, 0
	for i, usage := range report.Usages {
		grant := response.grant(i, usage.Resource)
		if !grant.SameShare {
			grant.Share = amountAt(response.ShareSlots, response.ShareKv, shares)
			shares++
		}
		if !grant.SameReserve {
			grant.Fallback = amountAt(response.FallbackSlots, response.FallbackKv, reserves)
			grant.Standby = amountAt(response.StandbySlots, response.StandbyKv, reserves)
			reserves++
		}
		answer.Grants = append(answer.Grants, grant)
	}
	return answer, nil
}

// grant returns one grant without its amounts.
func (x *ReportResponse) grant(i int, resource string) budget.Grant {
	return budget.Grant{
		Resource:    resource,
		SameShare:   bit(x.SameShare, i),
		SameReserve: bit(x.SameAside, i),
		Lifetime:    durationOf(x.Lifetime, x.LifetimeOfAll, i),
		StandbyIn:   durationOf(x.StandbyIn, x.StandbyInOfAll, i),
		Start:       startAt(x.StartNumber, x.StartAge, i),
	}
}

// valueAt returns a value of a column whose trailing zeros are not sent.
func valueAt(column []uint32, i int) uint32 {
	if i >= len(column) {
		return 0
	}
	return column[i]
}

// ceilMilliseconds returns a duration in milliseconds, rounded up.
func ceilMilliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

func amountAt(slots, memory []uint32, i int) budget.Amount {
	return budget.Amount{Slots: int(valueAt(slots, i)), KVTokens: int(valueAt(memory, i)) * kvUnit}
}

func startAt(numbers, ages []uint32, i int) budget.Start {
	return budget.Start{Number: uint64(valueAt(numbers, i)), Age: time.Duration(valueAt(ages, i)) * ageUnit}
}

func ceilKVUnits(tokens int) uint32 {
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

func trimTrailingZeros[T byte | uint32](column []T) []T {
	last := len(column)
	for last > 0 && column[last-1] == 0 {
		last--
	}
	return slices.Clip(column[:last])
}
