package claimstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/grouped"
)

const (
	// indexShards is the number of shards of each bucket; a node writes to one of
	// them, so that two nodes rarely write to the same rows.
	indexShards = 16
	// maxIndexRowEntries is the maximum number of entries in one index row.
	maxIndexRowEntries = 1000
	// bucketSpan is the span of expiry times that the index rows of one bucket cover.
	bucketSpan = time.Hour
	// sweptBuckets is the number of past buckets that a sweep checks.
	sweptBuckets = 48
)

// entry is one entry of an index row: a claim's row key and, for a large result, the
// key of its object. Both expire together.
type entry struct {
	Row    string `json:"row"`
	Object string `json:"object,omitempty"`
}

// index collects the keys of new claims by the bucket in which they expire. The
// table has no scan, so expired rows are found through index rows, which any node
// may read. The mutex guards pending and nextRow.
type index struct {
	shard uint32
	mutex sync.Mutex
	// pending holds entries by bucket.
	pending map[int64][]entry
	// nextRow is the lowest number, by bucket, of an index row that may not exist.
	nextRow map[int64]int
}

func newIndex(node string) *index {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(node))
	return &index{
		shard:   hash.Sum32() % indexShards,
		pending: map[int64][]entry{},
		nextRow: map[int64]int{},
	}
}

func bucketOf(at time.Time) int64 {
	return at.Unix() / int64(bucketSpan/time.Second)
}

func indexKey(bucket int64, shard uint32, number int) string {
	return fmt.Sprintf("claim-index/%d/%d/%d", bucket, shard, number)
}

// add adds an entry that expires at the given time. It goes to the bucket two after
// that of its expiry, when the record is removable.
func (i *index) add(added entry, expires time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	bucket := bucketOf(expires) + 2
	i.pending[bucket] = append(i.pending[bucket], added)
}

// takeBatch removes up to maxIndexRowEntries entries of one bucket and returns them
// with the bucket and the row number to write to. Entries whose bucket is over, since
// the store was unavailable, go to the next one: the index rows of a bucket that is
// over are never recreated.
func (i *index) takeBatch(now time.Time) (bucket int64, entries []entry, number int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for bucket, entries := range i.pending {
		count := min(len(entries), maxIndexRowEntries)
		i.pending[bucket] = entries[count:]
		if len(i.pending[bucket]) == 0 {
			delete(i.pending, bucket)
		}
		bucket = max(bucket, bucketOf(now)+1)
		return bucket, entries[:count], i.nextRow[bucket]
	}
	return 0, nil, 0
}

func (i *index) putBack(bucket int64, entries []entry) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.pending[bucket] = append(i.pending[bucket], entries...)
}

func (i *index) advance(bucket int64, number int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.nextRow[bucket] = number + 1
	for known := range i.nextRow {
		if known < bucket-sweptBuckets {
			delete(i.nextRow, known)
		}
	}
}

// Flush writes the keys of new claims to the index. A write whose outcome is unknown
// is repeated, in a further row if the first took effect: duplicate entries are
// harmless.
func (s *Store) Flush(ctx context.Context) {
	for {
		bucket, entries, number := s.index.takeBatch(s.config.Now())
		if len(entries) == 0 {
			return
		}
		err := s.writeIndexRow(ctx, indexKey(bucket, s.index.shard, number), entries)
		if err != nil {
			s.index.putBack(bucket, entries)
		}
		if err == nil || errors.Is(err, storage.ErrConflict) {
			s.index.advance(bucket, number)
			continue
		}
		return
	}
}

func (s *Store) writeIndexRow(ctx context.Context, key string, entries []entry) error {
	value, err := json.Marshal(entries)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	before := s.config.Now().Add(upkeepTimeout)
	return s.config.Rows.Write(ctx, grouped.Upkeep, storage.Write{Key: key, Value: value}, before)
}
