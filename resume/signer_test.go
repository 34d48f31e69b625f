package resume

import (
	"crypto/sha256"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	now    = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	digest = sha256.Sum256([]byte("body"))
	sample = Token{
		RequestID: "r/1", AttemptID: "a", UpstreamID: "works/production/e1", Organisation: "dock",
		Environment: "works", Lane: "production", Deadline: now.Add(time.Minute), BodyDigest: digest[:],
	}
)

func signer(t testing.TB, secret string) *Signer {
	t.Helper()
	made, err := NewSigner([]byte(secret))
	if err != nil {
		t.Fatal(err)
	}
	return made
}

func TestOpenAcceptsTokenOfSameSecretUntilDeadline(t *testing.T) {
	is := is.New(t)
	text, err := signer(t, "secret").Sign(sample)
	is.NoErr(err)
	opened, err := signer(t, "secret").Open(text, now)
	is.NoErr(err)
	is.Equal(opened, sample)
	_, err = signer(t, "other").Open(text, now)
	is.True(errors.Is(err, ErrSignature))
	_, err = signer(t, "secret").Open(text, sample.Deadline)
	is.True(errors.Is(err, ErrExpired))
}

func TestOpenRejectsEveryChangedByteAndTruncation(t *testing.T) {
	is := is.New(t)
	s := signer(t, "secret")
	text, err := s.Sign(sample)
	is.NoErr(err)
	for i := range text {
		for replaced := range byte(128) {
			changed := []byte(text)
			changed[i] = replaced
			if string(changed) == text {
				continue
			}
			if _, err := s.Open(string(changed), now); err == nil {
				t.Fatalf("token with byte %d changed to %q was accepted", i, replaced)
			}
		}
		_, err := s.Open(text[:i], now)
		is.True(err != nil) // truncated
	}
}

func FuzzOpen(f *testing.F) {
	s := signer(f, "secret")
	text, err := s.Sign(sample)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add(".")
	f.Add("e30.")
	f.Fuzz(func(t *testing.T, input string) {
		_, err := s.Open(input, now)
		if (err == nil) != (input == text) {
			t.Fatalf("token %q: error %v, want an error except for the signed token", input, err)
		}
	})
}
