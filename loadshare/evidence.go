package loadshare

import (
	"encoding/binary"
	"time"

	"github.com/wigeontiller/wigeontiller/quarantine"
)

// EvidenceGate holds the evidence about the features of requests that crash upstreams.
type EvidenceGate interface {
	// Evidence returns the evidence of a scope, with times on this node's clock.
	Evidence(scope quarantine.Scope) quarantine.Evidence
	// Apply merges evidence whose times are on this node's clock. With forward, what is new is
	// sent on to further nodes.
	Apply(evidence *quarantine.Evidence, forward bool)
}

// evidenceToSend returns the evidence for a message, or nil if there is none.
func (a *Agent) evidenceToSend(scope quarantine.Scope) *quarantine.Evidence {
	if a.Evidence == nil {
		return nil
	}
	evidence := a.Evidence.Evidence(scope)
	if evidence.Empty() {
		return nil
	}
	return &evidence
}

// applyEvidence merges the evidence of a message, whose times are on the clock of a node with this
// offset. Answers count only if the offset is trusted: one that seems later than it was would clear
// a feature that crashed an upstream after it.
func (a *Agent) applyEvidence(evidence *quarantine.Evidence, offset time.Duration, trusted bool) {
	if evidence == nil || a.Evidence == nil {
		return
	}
	evidence.Shift(offset)
	if !trusted {
		evidence.Answers = nil
	}
	a.mutex.Lock()
	acting := a.relay.acting
	a.mutex.Unlock()
	a.Evidence.Apply(evidence, acting)
}

func appendEvidence(b []byte, evidence *quarantine.Evidence, sentAt time.Duration) []byte {
	age := func(at time.Duration) uint64 { return uint64(max(0, (sentAt - at).Microseconds())) }
	b = binary.AppendUvarint(b, uint64(len(evidence.Ends)))
	for i := range evidence.Ends {
		end := &evidence.Ends[i]
		b = binary.BigEndian.AppendUint32(b, end.Engine)
		b = binary.BigEndian.AppendUint32(b, end.Attempt)
		b = binary.AppendUvarint(b, age(end.SentAt))
		b = binary.AppendUvarint(b, age(end.At))
		b = binary.AppendUvarint(b, uint64(len(end.Features)))
		for _, feature := range end.Features {
			b = binary.BigEndian.AppendUint64(b, feature)
		}
	}
	whole, _ := splitAnswers(evidence.Answers)
	b = binary.AppendUvarint(b, uint64(len(whole)))
	for _, answer := range whole {
		b = binary.BigEndian.AppendUint64(b, answer.Feature)
		b = binary.AppendUvarint(b, age(answer.At))
	}
	return b
}

// splitAnswers returns the whole answers, which are all that older versions know, and the others.
func splitAnswers(answers []quarantine.Answer) (whole, partial []quarantine.Answer) {
	for _, answer := range answers {
		if answer.Point == quarantine.Whole {
			whole = append(whole, answer)
		} else {
			partial = append(partial, answer)
		}
	}
	return whole, partial
}

// appendProgress appends what older versions don't read of the evidence: how far answers had come.
func appendProgress(b []byte, evidence *quarantine.Evidence, sentAt time.Duration) []byte {
	b = binary.AppendUvarint(b, uint64(len(evidence.Ends)))
	for i := range evidence.Ends {
		b = binary.AppendUvarint(b, uint64(max(0, evidence.Ends[i].Events)))
	}
	_, partial := splitAnswers(evidence.Answers)
	b = binary.AppendUvarint(b, uint64(len(partial)))
	for _, answer := range partial {
		b = binary.BigEndian.AppendUint64(b, answer.Feature)
		b = binary.AppendVarint(b, int64(answer.Point))
		b = binary.AppendUvarint(b, uint64(max(0, (sentAt-answer.At).Microseconds())))
	}
	return b
}

// progress reads what appendProgress has written into the evidence.
func (r *fieldReader) progress(evidence *quarantine.Evidence, sentAt time.Duration) {
	for i, n := 0, r.count(); i < n && !r.failed; i++ {
		events := r.count()
		if i < len(evidence.Ends) {
			evidence.Ends[i].Events = events
		}
	}
	for n := r.uvarint(); n > 0 && !r.failed; n-- {
		answer := quarantine.Answer{Feature: r.feature(), Point: quarantine.Point(r.varint())}
		answer.At = sentAt - time.Duration(r.microseconds())*time.Microsecond
		evidence.Answers = append(evidence.Answers, answer)
	}
}

func (r *fieldReader) evidence(sentAt time.Duration) *quarantine.Evidence {
	evidence := &quarantine.Evidence{}
	at := func() time.Duration { return sentAt - time.Duration(r.microseconds())*time.Microsecond }
	for n := r.uvarint(); n > 0 && !r.failed; n-- {
		end := quarantine.End{Engine: r.hash(), Attempt: r.hash(), SentAt: at(), At: at()}
		for features := r.uvarint(); features > 0 && !r.failed; features-- {
			end.Features = append(end.Features, r.feature())
		}
		evidence.Ends = append(evidence.Ends, end)
	}
	for n := r.uvarint(); n > 0 && !r.failed; n-- {
		evidence.Answers = append(evidence.Answers, quarantine.Answer{Feature: r.feature(), At: at()})
	}
	return evidence
}

func (r *fieldReader) feature() uint64 {
	b := r.bytes(8)
	if r.failed {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}
