package claimstore

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/wigeontiller/wigeontiller/claim"
	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/grouped"
)

// maxRemovalsPerTransaction is the maximum number of rows removed in one transaction;
// the index row that lists them is written with them.
const maxRemovalsPerTransaction = grouped.MaxGroupRows - 1

// upkeepTimeout is how long after its read or its decision a removal or an index row
// may still be sent.
const upkeepTimeout = 10 * time.Second

// Sweep removes expired claims. Any number of nodes may sweep concurrently: each
// removal is conditional on the version read.
func (s *Store) Sweep(ctx context.Context) {
	for shard := range uint32(indexShards) {
		s.sweepShard(ctx, shard)
	}
}

// sweepShard reads the first index row of all buckets together and sweeps the buckets
// that have one.
func (s *Store) sweepShard(ctx context.Context, shard uint32) {
	latest := bucketOf(s.config.Now()) - 1
	var firstKeys []string
	for back := range int64(sweptBuckets) {
		firstKeys = append(firstKeys, indexKey(latest-back, shard, 0))
	}
	firstRows, err := s.getAll(ctx, firstKeys)
	if err != nil {
		return
	}
	for back := range int64(sweptBuckets) {
		if _, ok := firstRows[firstKeys[back]]; ok && ctx.Err() == nil {
			s.sweepBucket(ctx, latest-back, shard)
		}
	}
}

// sweepBucket sweeps the index rows of one bucket and shard. They are removed from the
// last to the first, so that no gap hides the later ones.
func (s *Store) sweepBucket(ctx context.Context, bucket int64, shard uint32) {
	var indexRows []storage.Row
	for {
		row, err := s.get(ctx, indexKey(bucket, shard, len(indexRows)))
		if err != nil {
			break
		}
		indexRows = append(indexRows, row)
	}
	for i := len(indexRows) - 1; i >= 0; i-- {
		if !s.sweepRow(ctx, indexRows[i]) {
			return
		}
	}
}

// sweepRow removes the expired claims of one index row, then the row itself. It
// reports whether the index row was removed.
func (s *Store) sweepRow(ctx context.Context, indexRow storage.Row) bool {
	var entries []entry
	if err := json.Unmarshal(indexRow.Value, &entries); err != nil {
		s.config.Logger.Error().Err(err).Str("row", indexRow.Key).Msg("claim index row not decoded")
		return false
	}
	done := true
	for chunk := range slices.Chunk(entries, maxRemovalsPerTransaction) {
		done = s.removeExpired(ctx, chunk, &indexRow) && done
	}
	return done && s.removeIndexRow(ctx, indexRow)
}

// removeExpired removes the claims of a chunk of entries that have expired. It
// reports whether none of the entries is needed any more.
func (s *Store) removeExpired(ctx context.Context, chunk []entry, indexRow *storage.Row) bool {
	before := s.config.Now().Add(upkeepTimeout)
	events, err := s.readClaims(ctx, chunk)
	if err != nil {
		return false
	}
	removed := s.removeRows(ctx, events, indexRow, before)
	done := true
	for _, listed := range chunk {
		done = s.finishEntry(ctx, listed, events[listed.Row], removed) && done
	}
	return done
}

// removeRows removes the rows that have expired and reports whether they are removed.
// In the same transaction it writes their index row, conditional on the version read:
// a removal that is delayed until after another node's could otherwise remove a row
// that was recreated with the same version. An index row is never recreated, since
// its bucket is over.
func (s *Store) removeRows(ctx context.Context, events map[string]claim.Event, indexRow *storage.Row, before time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var removals []storage.Write
	for key, event := range events {
		if event.Kind == claim.ReadRow && event.Row.Removable(s.config.Now()) {
			removals = append(removals, storage.Write{Key: key, IfVersion: event.Row.Version, Delete: true})
		}
	}
	if len(removals) == 0 {
		return true
	}
	guard := storage.Write{Key: indexRow.Key, Value: indexRow.Value, IfVersion: indexRow.Version}
	if s.config.Rows.Write(ctx, grouped.Upkeep, guard, before, removals...) != nil {
		return false
	}
	indexRow.Version++
	return true
}

// finishEntry removes the object of an entry if it is no longer in use. It reports
// whether the entry is no longer needed.
func (s *Store) finishEntry(ctx context.Context, listed entry, event claim.Event, removed bool) bool {
	if event.Kind == claim.ReadFailed {
		return false
	}
	if event.Kind == claim.ReadRow && !event.Row.Removable(s.config.Now()) {
		// The key was used again and has another entry, by its new expiry. An object
		// of the earlier use is removed with this entry.
		return s.removeObject(ctx, listed, event.Row.Result)
	}
	if event.Kind == claim.ReadRow && !removed {
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

// readClaims reads the rows of a chunk of entries. Rows that don't exist are missing
// from the result; callers treat them as removed.
func (s *Store) readClaims(ctx context.Context, chunk []entry) (map[string]claim.Event, error) {
	keys := make([]string, 0, len(chunk))
	for _, listed := range chunk {
		keys = append(keys, listed.Row)
	}
	rows, err := s.getAll(ctx, keys)
	if err != nil {
		return nil, err
	}
	events := map[string]claim.Event{}
	for key, row := range rows {
		events[key] = s.decode(row)
	}
	return events, nil
}

// getAll requests rows concurrently, so that their reads are grouped. It returns those
// that exist, and the error of one that could not be read.
func (s *Store) getAll(ctx context.Context, keys []string) (map[string]storage.Row, error) {
	var mutex sync.Mutex
	rows := map[string]storage.Row{}
	var failed error
	var reads conc.WaitGroup
	for _, key := range keys {
		reads.Go(func() {
			row, err := s.get(ctx, key)
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case err == nil:
				rows[key] = row
			case !errors.Is(err, storage.ErrNotFound):
				failed = err
			}
		})
	}
	reads.Wait()
	return rows, failed
}

func (s *Store) get(ctx context.Context, key string) (storage.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.config.Rows.Get(ctx, grouped.Upkeep, key)
}

// removeIndexRow removes an index row of which no entry is needed any more.
func (s *Store) removeIndexRow(ctx context.Context, indexRow storage.Row) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	write := storage.Write{Key: indexRow.Key, IfVersion: indexRow.Version, Delete: true}
	return s.config.Rows.Write(ctx, grouped.Upkeep, write, s.config.Now().Add(upkeepTimeout)) == nil
}
