package wire

import (
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"
)

// Compares the encoded records with those of the protocol's specification.
func TestActionsAreEncodedAsSpecified(t *testing.T) {
	r := &Reply{}
	r.reset()
	r.SelectInstance(3)
	r.Send(0x000a33525d3a91c4, 0x03124a07, 80000)
	r.Publish(0xffff, []byte("hi 7"))
	r.CancelDispatch(0x000a33525d3a91c4, 2)
	r.Probe(0x03124a07)
	r.CloseIdle(0x03124a07)
	r.RequestList()
	r.Log("two")
	reply := r.finish(12)
	want := []string{
		"4100000003",
		"47000a33525d3a91c4405400000000000003124a07",
		"46ffff0000000000000004",
		"4e000a33525d3a91c402",
		"4303124a07",
		"4903124a07",
		"44",
		"4c0000000400000003",
	}
	for i, record := range want {
		at := reply[replyHeaderSize+i*actionSize:]
		require.Equal(t, record, hex.EncodeToString(at[:len(record)/2]), "record %d", i)
	}
	require.Equal(t, "hi 7two", string(reply[len(reply)-7:]))
}
