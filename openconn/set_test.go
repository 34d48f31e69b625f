package openconn_test

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/openconn"
)

func TestSet(t *testing.T) {
	is := is.New(t)
	var set openconn.Set
	kept, keptPeer := net.Pipe()
	removed, removedPeer := net.Pipe()
	is.True(set.Add(kept))
	is.True(set.Add(removed))
	set.Remove(removed)
	set.Close()
	_, err := keptPeer.Write([]byte("x"))
	is.True(err != nil) // closed with the set
	go func() { _, _ = removedPeer.Write([]byte("x")) }()
	_, err = removed.Read(make([]byte, 1))
	is.NoErr(err) // no longer the set's
	late, latePeer := net.Pipe()
	is.True(!set.Add(late))
	_, err = latePeer.Write([]byte("x"))
	is.True(err != nil) // closed at once
}
