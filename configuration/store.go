package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/storage"
)

const (
	siteKey           = "configuration/site"
	historyKeyPrefix  = "configuration/history/"
	documentKeyPrefix = "environments/"
	maxWriteAttempts  = 8
)

// Errors of the store, converted from those of the platform.
var (
	// ErrStoreUnavailable is returned when the platform did not answer a query or did
	// not execute a command.
	ErrStoreUnavailable = eris.New("configuration store unavailable")
	// ErrOutcomeUnknown is returned when a command may have taken effect. The operator
	// repeats it with the same ID.
	ErrOutcomeUnknown = eris.New("outcome of the command unknown")
	// ErrContended is returned when every attempt to write conflicted with another
	// command.
	ErrContended = eris.New("too many concurrent commands")
)

// Platform is the part of the platform that the store uses.
type Platform interface {
	storage.Table
	storage.Objects
}

// Store reads and writes the site row and the documents.
type Store struct {
	platform Platform
}

// NewStore returns a store that uses the platform.
func NewStore(p Platform) *Store {
	return &Store{platform: p}
}

// Site returns the site in the table; before any command it is empty.
func (s *Store) Site(ctx context.Context) (Site, error) {
	row, err := s.platform.Get(ctx, siteKey)
	if errors.Is(err, storage.ErrNotFound) {
		return NewSite(), nil
	}
	if err != nil {
		return Site{}, eris.Wrap(ErrStoreUnavailable, err.Error())
	}
	return decodeSite(row.Value)
}

func decodeSite(data []byte) (Site, error) {
	site := NewSite()
	if err := json.Unmarshal(data, &site); err != nil {
		return Site{}, eris.Wrap(ErrStoreUnavailable, err.Error())
	}
	return site, nil
}

// Document returns the bytes of a document and checks them against the digest.
func (s *Store) Document(ctx context.Context, digest string) ([]byte, error) {
	data, err := s.platform.GetObject(ctx, documentKeyPrefix+digest)
	if err != nil {
		return nil, eris.Wrap(ErrStoreUnavailable, err.Error())
	}
	if environment.Digest(data) != digest {
		return nil, eris.Wrap(ErrStoreUnavailable, "document does not match its digest")
	}
	return data, nil
}

// History returns the outcomes of the latest commands for an environment.
func (s *Store) History(ctx context.Context, target string) ([]Outcome, error) {
	site, err := s.Site(ctx)
	if err != nil {
		return nil, err
	}
	var found []Outcome
	for _, outcome := range site.Outcomes {
		if outcome.Target == target {
			found = append(found, outcome)
		}
	}
	return found, nil
}

// PutDocument stores a document under its digest and returns the digest.
func (s *Store) PutDocument(ctx context.Context, data []byte) (string, error) {
	digest := environment.Digest(data)
	if err := s.platform.PutObject(ctx, documentKeyPrefix+digest, data); err != nil {
		return "", eris.Wrap(ErrStoreUnavailable, err.Error())
	}
	return digest, nil
}

// Execute applies a command to the site row and returns the new site. When the
// answer to a write is lost, it reads the row again before it returns.
func (s *Store) Execute(ctx context.Context, command Command) (Site, Outcome, error) {
	unknown := false
	for range maxWriteAttempts {
		site, err := s.Site(ctx)
		if err != nil {
			return Site{}, Outcome{}, outcomeError(unknown, err)
		}
		next, outcome, err := Apply(site, command)
		if err != nil || next.Version == site.Version {
			return next, outcome, err
		}
		err = s.write(ctx, site, next, outcome)
		switch {
		case err == nil:
			return next, outcome, nil
		case errors.Is(err, storage.ErrUnavailable):
			return Site{}, Outcome{}, outcomeError(unknown, ErrStoreUnavailable)
		case !errors.Is(err, storage.ErrConflict):
			unknown = true
		}
	}
	return Site{}, Outcome{}, outcomeError(unknown, ErrContended)
}

func outcomeError(unknown bool, err error) error {
	if unknown {
		return ErrOutcomeUnknown
	}
	return err
}

func (s *Store) write(ctx context.Context, site, next Site, outcome Outcome) error {
	value, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "encode site")
	}
	entry, err := json.Marshal(outcome)
	if err != nil {
		return eris.Wrap(err, "encode outcome")
	}
	history := fmt.Sprintf("%s%d", historyKeyPrefix, next.Version)
	return s.platform.Transact(ctx, []storage.Write{
		{Key: siteKey, Value: value, IfVersion: site.Version},
		{Key: history, Value: entry},
	})
}
