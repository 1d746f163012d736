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

// probesPerSecond is what a member sends and answers, 2 each way.
const probesPerSecond = 4

// The control traffic of a member stays under the target of 3 KB a second.
func TestControlBytesAreUnderTheTarget(t *testing.T) {
	const target = 3 << 10
	board := blackboard.New(blackboard.Own{})
	self := member870(0)
	table := member.NewTable(board, self, time.Now)
	for i := 1; i < 870; i++ {
		table.Receive(member.Gossip{From: member870(i)})
	}
	sum, messages := 0, 0
	for range 2000 {
		data, err := encode(1, kindPing, table.Gossip())
		if err != nil {
			t.Fatal(err)
		}
		sum += len(data)
		messages++
	}
	perSecond := sum / messages * probesPerSecond
	t.Logf("%d bytes a message, %d bytes sent a second and as many received", sum/messages, perSecond)
	if perSecond > target {
		t.Errorf("%d bytes a second, want at most %d", perSecond, target)
	}
}

func member870(i int) blackboard.Member {
	return blackboard.Member{
		Name:       fmt.Sprintf("instance-%d", i),
		Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 18201),
		DataCentre: "nidaros", Incarnation: uint64(time.Now().UnixMilli()), Revision: 580,
	}
}

func TestMalformedFrames(t *testing.T) {
	for name, data := range map[string][]byte{
		"empty": {}, "not CBOR": {0xff, 0x00}, "no kind": {0xa0}, "a number": {0x01},
	} {
		if f, err := decode(data); err == nil {
			t.Errorf("%s: decoded as %+v", name, f)
		}
	}
}

// FuzzFrame feeds frames to the decoder and to each kind's body.
func FuzzFrame(f *testing.F) {
	for _, k := range []kind{kindPing, kindConfig, kindPermit, kindRelease, kindSuspect, kindWarmth, kindPingVia} {
		data, err := encode(1, k, struct{}{})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		x, err := decode(data)
		if err != nil {
			return
		}
		var g pingBody
		if err := cbor.Unmarshal(x.Body, &g); err != nil {
			return
		}
		board := blackboard.New(blackboard.Own{})
		member.NewTable(board, blackboard.Member{Name: "a"}, time.Now).Receive(g)
	})
}
