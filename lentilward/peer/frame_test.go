package peer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/member"
)

// messagesPerSecond is the number of messages that a member sends per second: 2 probes
// and 2 replies.
const messagesPerSecond = 4

// Guards against gossip messages so large that a member of a fleet of 870 sends
// more than the target of 3 KB a second.
func TestGossipStaysUnderTrafficTarget(t *testing.T) {
	const maxBytesPerSecond = 3 << 10
	board := blackboard.New(blackboard.LocalInstance{})
	self := newMember(0)
	table := member.NewTable(board, self, time.Now)
	for i := 1; i < 870; i++ {
		table.Receive(member.Gossip{From: newMember(i)})
	}
	sum, messages := 0, 0
	for range 2000 {
		data, err := encodeFrame(1, kindPing, table.NextGossip())
		if err != nil {
			t.Fatal(err)
		}
		sum += len(data)
		messages++
	}
	perSecond := sum / messages * messagesPerSecond
	t.Logf("%d bytes per message, %d bytes per second sent and as many received", sum/messages, perSecond)
	if perSecond > maxBytesPerSecond {
		t.Errorf("gossip takes %d bytes per second, want at most %d", perSecond, maxBytesPerSecond)
	}
}

func newMember(i int) blackboard.Member {
	return blackboard.Member{
		Name:       fmt.Sprintf("instance-%d", i),
		Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 18201),
		DataCentre: "nidaros", Incarnation: uint64(time.Now().UnixMilli()), Revision: 580,
	}
}

func TestMalformedFramesAreRejected(t *testing.T) {
	for name, data := range map[string][]byte{
		"empty": {}, "not CBOR": {0xff, 0x00}, "no kind": {0xa0}, "a number": {0x01},
	} {
		if f, err := decodeFrame(data); err == nil {
			t.Errorf("%s: decoded as %+v", name, f)
		}
	}
}

// FuzzFrame decodes arbitrary data as frames, and merges the bodies that decode as
// gossip.
func FuzzFrame(f *testing.F) {
	for _, k := range []kind{kindPing, kindConfig, kindPermit, kindRelease, kindSuspect, kindWarmth, kindPingVia} {
		data, err := encodeFrame(1, k, struct{}{})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := decodeFrame(data)
		if err != nil {
			return
		}
		var gossip pingBody
		if err := cbor.Unmarshal(decoded.Body, &gossip); err != nil {
			return
		}
		board := blackboard.New(blackboard.LocalInstance{})
		member.NewTable(board, blackboard.Member{Name: "a"}, time.Now).Receive(gossip)
	})
}
