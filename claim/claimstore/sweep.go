package claimstore

import (
	"context"
	"encoding/json"

	"github.com/wigeontiller/wigeontiller/claim"
	"github.com/wigeontiller/wigeontiller/platform"
)

// Sweep removes expired claims. Any number of nodes may sweep at once: each
// removal is conditional on the version read.
func (s *Store) Sweep(ctx context.Context) {
	for shard := range uint32(indexShards) {
		s.sweepShard(ctx, shard)
	}
}

func (s *Store) sweepShard(ctx context.Context, shard uint32) {
	latest := bucketOf(s.config.Now()) - 1
	for back := range int64(sweepBuckets) {
		if ctx.Err() != nil {
			return
		}
		s.sweepList(ctx, latest-back, shard)
	}
}

// sweepList works through one list. The rows of a list are removed from its
// end, so that a list has no gap that hides its later rows.
func (s *Store) sweepList(ctx context.Context, hour int64, shard uint32) {
	var lists []platform.Row
	for {
		row, err := s.get(ctx, indexKey(hour, shard, len(lists)))
		if err != nil {
			break
		}
		lists = append(lists, row)
	}
	for i := len(lists) - 1; i >= 0; i-- {
		if !s.sweepRow(ctx, lists[i]) {
			return
		}
	}
}

func (s *Store) sweepRow(ctx context.Context, list platform.Row) bool {
	var entries []entry
	if err := json.Unmarshal(list.Value, &entries); err != nil {
		s.config.Logger.Error().Err(err).Str("row", list.Key).Msg("index not readable")
		return false
	}
	whole := true
	for _, listed := range entries {
		whole = s.remove(ctx, listed) && whole
	}
	return whole && s.delete(ctx, list.Key, list.Version)
}

// remove deletes one claim that has expired. It reports whether the entry has
// served its purpose.
func (s *Store) remove(ctx context.Context, listed entry) bool {
	event := s.readClaim(ctx, listed.Row)
	if event.Kind == claim.ReadFailed {
		return false
	}
	if event.Kind == claim.ReadRow && !event.Row.Removable(s.config.Now()) {
		// The key was used anew and is listed again under its new expiry. An
		// object of the earlier use is gone with it.
		return s.removeObject(ctx, listed, event.Row.Result)
	}
	if event.Kind == claim.ReadRow && !s.delete(ctx, listed.Row, event.Row.Version) {
		return false
	}
	s.config.Metrics.Count("wigeontiller_claims_swept_total", 1)
	return s.removeObject(ctx, listed, nil)
}

func (s *Store) removeObject(ctx context.Context, listed entry, inUse *claim.Result) bool {
	if listed.Object == "" {
		return true
	}
	if inUse != nil && inUse.Object == listed.Object {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.config.Upkeep.DeleteObject(ctx, listed.Object) == nil
}

func (s *Store) readClaim(ctx context.Context, key string) claim.Event {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.read(ctx, s.config.Upkeep, key)
}

func (s *Store) get(ctx context.Context, key string) (platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.config.Upkeep.Get(ctx, key)
}

func (s *Store) delete(ctx context.Context, key string, version uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.config.Upkeep.Transact(ctx, []platform.Write{{Key: key, IfVersion: version, Delete: true}})
	return err == nil
}
