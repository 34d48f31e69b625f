package configuration

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/memory"
)

// faultyPlatform is a platform whose writes fail before or after their effect.
type faultyPlatform struct {
	*memory.Platform
	mutex sync.Mutex
	rand  *rand.Rand
	// refusedProbability and lostProbability are the probabilities of the faults, from
	// 0 to 1.
	refusedProbability, lostProbability float64
}

func (f *faultyPlatform) draw() float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.rand.Float64()
}

func (f *faultyPlatform) Transact(ctx context.Context, writes []storage.Write) error {
	if f.draw() < f.refusedProbability {
		return storage.ErrUnavailable
	}
	err := f.Platform.Transact(ctx, writes)
	if f.draw() < f.lostProbability {
		return storage.ErrUnknown
	}
	return err
}

func (f *faultyPlatform) Get(ctx context.Context, key string) (storage.Row, error) {
	if f.draw() < f.refusedProbability {
		return storage.Row{}, storage.ErrUnavailable
	}
	return f.Platform.Get(ctx, key)
}

func newFaultyPlatform(seed uint64, refused, lost float64) *faultyPlatform {
	return &faultyPlatform{Platform: memory.New(), rand: rand.New(rand.NewPCG(seed, 0)), refusedProbability: refused, lostProbability: lost}
}

func TestExecuteReadsOutcomeBackWhenAnswerIsLost(t *testing.T) {
	is := is.New(t)
	store := NewStore(newFaultyPlatform(1, 0, 1))
	command := Command{ID: "one", Kind: Try, Target: "works", Digest: "sha256:a"}
	site, first, err := store.Execute(t.Context(), command)
	is.NoErr(err)
	is.Equal(site.Version, uint64(1))
	_, again, err := store.Execute(t.Context(), command)
	is.NoErr(err)
	is.Equal(again, first) // the repeat changed nothing
	command.Digest = "sha256:b"
	_, _, err = store.Execute(t.Context(), command)
	is.True(errors.Is(err, ErrCommandReused))
}

func TestReusedCommandIDWithOppositeStateIsRejected(t *testing.T) {
	is := is.New(t)
	store := NewStore(memory.New())
	_, _, err := store.Execute(t.Context(), Command{ID: "one", Kind: SetDataCentre, Target: "dc-a", OutOfService: true})
	is.NoErr(err)
	_, _, err = store.Execute(t.Context(), Command{ID: "one", Kind: SetDataCentre, Target: "dc-a"})
	is.True(errors.Is(err, ErrCommandReused)) // not reported as done while it is still out of service
}

func TestStalePromotionReturnsCurrentVersion(t *testing.T) {
	is := is.New(t)
	store := NewStore(memory.New())
	_, tried, err := store.Execute(t.Context(), Command{ID: "1", Kind: Try, Target: "works", Digest: "a"})
	is.NoErr(err)
	_, newer, err := store.Execute(t.Context(), Command{ID: "2", Kind: Try, Target: "works", Digest: "b"})
	is.NoErr(err)
	_, _, err = store.Execute(t.Context(), Command{ID: "3", Kind: Promote, Target: "works", Digest: "a", Replaces: tried.Version})
	var stale *StaleVersionError
	is.True(errors.As(err, &stale))
	is.Equal(stale.Current, newer.Version)
	_, _, err = store.Execute(t.Context(), Command{ID: "4", Kind: Promote, Target: "works", Digest: "a", Replaces: newer.Version})
	is.True(errors.Is(err, ErrNotInTrial))
	_, _, err = store.Execute(t.Context(), Command{ID: "5", Kind: Withdraw, Target: "none"})
	is.True(errors.Is(err, ErrUnknownEnvironment))
}

// TestConcurrentCommandsUnderFaultsMatchHistory runs operators concurrently under
// faults and checks each answer against the history: success means one entry, a
// refusal means none.
func TestConcurrentCommandsUnderFaultsMatchHistory(t *testing.T) {
	for seed := range uint64(40) {
		raceOperators(t, seed)
	}
}

func raceOperators(t *testing.T, seed uint64) {
	const operators, commands = 4, 8
	is := is.New(t)
	store := NewStore(newFaultyPlatform(seed, 0.1, 0.3))
	var mutex sync.Mutex
	answers := map[string]error{}
	versions := map[string]uint64{}
	var group sync.WaitGroup
	for operator := range operators {
		group.Go(func() {
			for number := range commands {
				id := fmt.Sprintf("%d/%d", operator, number)
				command := Command{ID: id, Kind: Try, Target: "works", Digest: id}
				_, outcome, err := store.Execute(context.Background(), command)
				mutex.Lock()
				answers[id] = err
				versions[id] = outcome.Version
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	history, err := NewStore(store.platform.(*faultyPlatform).Platform).History(t.Context(), "works")
	is.NoErr(err)
	done := map[string]uint64{}
	for i, outcome := range history {
		is.Equal(outcome.Version, uint64(i+1)) // a total order without gaps
		_, repeated := done[outcome.CommandID]
		is.True(!repeated)
		done[outcome.CommandID] = outcome.Version
	}
	for id, err := range answers {
		version, executed := done[id]
		switch {
		case err == nil:
			is.True(executed)
			is.Equal(versions[id], version)
		case errors.Is(err, ErrOutcomeUnknown):
			// Either is possible; a repeated command returns which.
		default:
			is.True(!executed) // not executed, as the error says
		}
	}
}
