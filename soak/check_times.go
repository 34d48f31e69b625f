package soak

import "time"

const (
	// deadlineGrace is how long after its deadline a request may still end.
	deadlineGrace = 2 * time.Second
	// outGrace is when something taken out gets nothing new.
	outGrace = 5 * time.Second
	// inForceTime is when an accepted version is in force on every node.
	inForceTime = 9 * time.Second
)

func checkDeadlines(r *Record, i *Invariant) {
	for _, send := range r.Sends {
		taken := send.End - send.Start
		i.hold(taken <= send.Allowed+deadlineGrace, "took %v, allowed %v: %v", taken, send.Allowed, send)
	}
}

// checkOut counts the windows long enough to be looked at.
func checkOut(r *Record, i *Invariant) {
	for _, window := range r.Outs {
		if window.Until < window.From+outGrace {
			continue
		}
		i.Checked++
		for _, seen := range r.Seen {
			if window.holds(&seen) && seen.At > window.From+outGrace && seen.At < window.Until {
				i.breach("%s %s arrived at %s at %v, out from %v until %v (vm %q, data centre %q)",
					seen.Kind, seen.Name, seen.Upstream, seen.At, window.From, window.Until, window.VM, window.DataCentre)
			}
		}
	}
}

// checkShutdown counts the requests under way when a shutdown began.
func checkShutdown(r *Record, i *Invariant) {
	for _, send := range r.Sends {
		life := r.node(send.Node)
		if life.Leaving == 0 || send.End < life.Leaving {
			continue
		}
		cut := send.Ending == Cut || send.Ending == Unreached
		i.hold(!cut, "leaving from %v, gone at %v: %v", life.Leaving, life.Gone, send)
	}
}

// checkInForce looks at each node that was ready when a version was accepted
// and lived until it had to be in force.
func checkInForce(r *Record, i *Invariant) {
	for _, accepted := range r.Accepted {
		limit := accepted.At + inForceTime
		for _, life := range r.Nodes {
			if !life.alive(accepted.At, limit) || !r.sampledBy(life.Name, limit) {
				continue
			}
			i.hold(r.hadVersion(life.Name, accepted.Version, limit),
				"version %d, accepted at %v, is not in force at %s at %v", accepted.Version, accepted.At, life.Name, limit)
		}
	}
}

// sampledBy reports whether the node was asked at or after a time.
func (r *Record) sampledBy(node string, at time.Duration) bool {
	for _, sample := range r.Versions {
		if sample.Node == node && sample.At >= at {
			return true
		}
	}
	return false
}

// hadVersion looks at the first sample after the limit too, as the node was not
// asked at the limit itself.
func (r *Record) hadVersion(node string, version uint64, limit time.Duration) bool {
	for _, sample := range r.Versions {
		if sample.Node != node {
			continue
		}
		if sample.Version >= version {
			return true
		}
		if sample.At >= limit {
			return false
		}
	}
	return false
}

func checkMemory(r *Record, i *Invariant) {
	for _, rest := range r.Engines {
		i.hold(rest.KVTokens == 0 && rest.Streams == 0, "%s holds %d tokens and %d streams", rest.Engine, rest.KVTokens, rest.Streams)
	}
}

func checkRests(r *Record, i *Invariant) {
	for _, rest := range r.Rests {
		i.hold(rest.Waiting == 0 && rest.Running == 0, "%s has %d waiting and %d running", rest.Node, rest.Waiting, rest.Running)
	}
}

func checkLives(r *Record, i *Invariant) {
	for _, life := range r.Nodes {
		i.hold(life.Problem == "", "%s: %s", life.Name, life.Problem)
	}
}
