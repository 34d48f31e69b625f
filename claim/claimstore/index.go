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
	// indexShards spreads the nodes' index rows, so that two nodes seldom
	// append to the same list.
	indexShards = 16
	// maxIndexRowEntries bounds the entries of one index row.
	maxIndexRowEntries = 1000
	// bucketSpan is the span of expiry times that one list of index rows covers.
	bucketSpan = time.Hour
	// sweptBuckets is how many past buckets a sweep looks at.
	sweptBuckets = 48
)

// entry names what expires together.
type entry struct {
	Row    string `json:"row"`
	Object string `json:"object,omitempty"`
}

// index collects the keys of new claims by the hour in which they expire. The
// table has no scan, so that expired rows are found through index rows, which
// any node may read. The mutex guards pending and next.
type index struct {
	shard uint32
	mutex sync.Mutex
	// pending holds entries by bucket.
	pending map[int64][]entry
	// nextRow is the first index row of a bucket that may be free.
	nextRow map[int64]int
}

func newIndex(node string) *index {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(node))
	return &index{
		shard:   hash.Sum32() % indexShards,
		pending: map[int64][]entry{},
		nextRow:    map[int64]int{},
	}
}

func bucketOf(at time.Time) int64 {
	return at.Unix() / int64(bucketSpan/time.Second)
}

func indexKey(hour int64, shard uint32, number int) string {
	return fmt.Sprintf("claim-index/%d/%d/%d", hour, shard, number)
}

// add lists what expires at a time. It is due two buckets later, when the
// record is removable.
func (i *index) add(listed entry, expires time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	hour := bucketOf(expires) + 2
	i.pending[hour] = append(i.pending[hour], listed)
}

// takeBatch removes up to indexEntries entries of one bucket. Those that were kept
// back too long, as the store was down, go to one that is yet to come: a list
// whose hour is over is never made anew.
func (i *index) takeBatch(now time.Time) (hour int64, entries []entry, number int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for hour, entries := range i.pending {
		count := min(len(entries), maxIndexRowEntries)
		i.pending[hour] = entries[count:]
		if len(i.pending[hour]) == 0 {
			delete(i.pending, hour)
		}
		hour = max(hour, bucketOf(now)+1)
		return hour, entries[:count], i.nextRow[hour]
	}
	return 0, nil, 0
}

func (i *index) putBack(hour int64, entries []entry) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.pending[hour] = append(i.pending[hour], entries...)
}

func (i *index) advance(hour int64, number int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.nextRow[hour] = number + 1
	for known := range i.nextRow {
		if known < hour-sweptBuckets {
			delete(i.nextRow, known)
		}
	}
}

// Flush writes the keys of new claims to the index. A write without an answer
// is repeated in a further row: an entry that stands twice does no harm.
func (s *Store) Flush(ctx context.Context) {
	for {
		hour, entries, number := s.index.takeBatch(s.config.Now())
		if len(entries) == 0 {
			return
		}
		err := s.writeIndexRow(ctx, indexKey(hour, s.index.shard, number), entries)
		if err != nil {
			s.index.putBack(hour, entries)
		}
		if err == nil || errors.Is(err, storage.ErrConflict) {
			s.index.advance(hour, number)
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
