package openconn_test

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/openconn"
)

func TestSetClosesItsConnectionsAndLaterOnes(t *testing.T) {
	is := is.New(t)
	var set openconn.Set
	kept, keptPeer := net.Pipe()
	removed, removedPeer := net.Pipe()
	is.True(set.Add(kept))
	is.True(set.Add(removed))
	set.Remove(removed)
	set.Close()
	_, err := keptPeer.Write([]byte("x"))
	is.True(err != nil) // closed by set.Close
	go func() { _, _ = removedPeer.Write([]byte("x")) }()
	_, err = removed.Read(make([]byte, 1))
	is.NoErr(err) // not closed after Remove
	late, latePeer := net.Pipe()
	is.True(!set.Add(late))
	_, err = latePeer.Write([]byte("x"))
	is.True(err != nil) // closed by Add
}
