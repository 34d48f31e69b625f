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

// maxRemovalsPerTransaction is how many entries of a list are removed in one transaction;
// the list's own row goes with them.
const maxRemovalsPerTransaction = grouped.GroupRows - 1

// upkeepTimeout is how long after its read or its decision a removal or an index
// row may be sent.
const upkeepTimeout = 10 * time.Second

// Sweep removes expired claims. Any number of nodes may sweep at once: each
// removal is conditional on the version read.
func (s *Store) Sweep(ctx context.Context) {
	for shard := range uint32(indexShards) {
		s.sweepShard(ctx, shard)
	}
}

// sweepShard looks at the first row of all lists together and works through the
// lists that exist.
func (s *Store) sweepShard(ctx context.Context, shard uint32) {
	latest := bucketOf(s.config.Now()) - 1
	var heads []string
	for back := range int64(sweptBuckets) {
		heads = append(heads, indexKey(latest-back, shard, 0))
	}
	lists, err := s.getAll(ctx, heads)
	if err != nil {
		return
	}
	for back := range int64(sweptBuckets) {
		if _, ok := lists[heads[back]]; ok && ctx.Err() == nil {
			s.sweepBucket(ctx, latest-back, shard)
		}
	}
}

// sweepBucket works through one list. The rows of a list are removed from its
// end, so that a list has no gap that hides its later rows.
func (s *Store) sweepBucket(ctx context.Context, hour int64, shard uint32) {
	var lists []storage.Row
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

func (s *Store) sweepRow(ctx context.Context, list storage.Row) bool {
	var entries []entry
	if err := json.Unmarshal(list.Value, &entries); err != nil {
		s.config.Logger.Error().Err(err).Str("row", list.Key).Msg("index not readable")
		return false
	}
	whole := true
	for chunk := range slices.Chunk(entries, maxRemovalsPerTransaction) {
		whole = s.removeExpired(ctx, chunk, &list) && whole
	}
	return whole && s.removeIndexRow(ctx, list)
}

// removeExpired removes the claims of a chunk that have expired. It reports whether
// all entries have served their purpose.
func (s *Store) removeExpired(ctx context.Context, chunk []entry, list *storage.Row) bool {
	before := s.config.Now().Add(upkeepTimeout)
	events, err := s.readClaims(ctx, chunk)
	if err != nil {
		return false
	}
	removed := s.removeRows(ctx, events, list, before)
	whole := true
	for _, listed := range chunk {
		whole = s.finishEntry(ctx, listed, events[listed.Row], removed) && whole
	}
	return whole
}

// removeRows removes the rows that have expired, and reports whether they are
// gone. It writes their list as well, on the version read: a removal that comes
// late, after another node's, could otherwise meet a row that was made anew and
// has the same version. A list is never made anew, as its hour is over.
func (s *Store) removeRows(ctx context.Context, events map[string]claim.Event, list *storage.Row, before time.Time) bool {
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
	guard := storage.Write{Key: list.Key, Value: list.Value, IfVersion: list.Version}
	if s.config.Rows.Write(ctx, grouped.Upkeep, guard, before, removals...) != nil {
		return false
	}
	list.Version++
	return true
}

// finishEntry ends one entry. It reports whether it has served its purpose.
func (s *Store) finishEntry(ctx context.Context, listed entry, event claim.Event, removed bool) bool {
	if event.Kind == claim.ReadFailed {
		return false
	}
	if event.Kind == claim.ReadRow && !event.Row.Removable(s.config.Now()) {
		// The key was used anew and is listed again under its new expiry. An
		// object of the earlier use is gone with it.
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

// readClaims reads the rows of a chunk; the rows that don't exist are missing
// from the result, which then reads as removed.
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

// getAll asks for rows together, so that their reads are grouped. It returns
// those that exist, or the error of one that could not be read.
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

// removeIndexRow removes a list whose entries have all served their purpose.
func (s *Store) removeIndexRow(ctx context.Context, list storage.Row) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	write := storage.Write{Key: list.Key, IfVersion: list.Version, Delete: true}
	return s.config.Rows.Write(ctx, grouped.Upkeep, write, s.config.Now().Add(upkeepTimeout)) == nil
}
