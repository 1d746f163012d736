// Package peer speaks with the other instances over WebSocket with CBOR.
package peer

import (
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/fleet"
	"lentilward.org/lentilward/member"
	"lentilward.org/lentilward/mirror"
)

// maxFrame is the size of the largest frame, in bytes.
const maxFrame = 4 << 20

// kind says what a frame's body is.
type kind string

const (
	kindReply   kind = "reply"
	kindError   kind = "error"
	kindPing    kind = "ping"
	kindPingVia kind = "ping-via"
	kindConfig  kind = "config"
	kindPermit  kind = "permit"
	kindRelease kind = "release"
	kindSuspect kind = "suspect"
	kindWarmth  kind = "warmth"
	kindRecords kind = "records"
	kindGather  kind = "gather"
	kindPartial kind = "partial"
	kindCancel  kind = "cancel"
)

// frame is one message. A reply has the id of the frame that it answers.
type frame struct {
	ID   uint64          `cbor:"id"`
	Kind kind            `cbor:"kind"`
	Body cbor.RawMessage `cbor:"body"`
}

// pingBody is the body of a ping and of its reply.
type pingBody = member.Gossip

// configBody asks for what is newer than a revision; the reply is a
// blackboard.Delta.
type configBody struct {
	Have uint64 `cbor:"have"`
}

// Knowledge is what a peer knows beyond a revision, and the requests that backend
// servers were lost with.
type Knowledge struct {
	mirror.Delta
	Suspects []blackboard.Suspect `cbor:"suspects,omitempty"`
}

// recordsBody asks for what is newer than a revision; the reply is Knowledge.
type recordsBody struct {
	Since uint64 `cbor:"since"`
}

// cancelBody ends a gather, hard if nobody waits for it any more.
type cancelBody struct {
	ID   uint64 `cbor:"id"`
	Hard bool   `cbor:"hard"`
}

// pingViaBody asks the receiver to probe the target.
type pingViaBody struct {
	Target netip.AddrPort `cbor:"target"`
}

// permitBody asks the owner of a cold server for a place on it.
type permitBody struct {
	Address netip.AddrPort   `cbor:"address"`
	BootID  uint64           `cbor:"boot-id"`
	Class   blackboard.Class `cbor:"class"`
	Wait    time.Duration    `cbor:"wait"`
}

// permitReply answers a permitBody.
type permitReply struct {
	Granted bool   `cbor:"granted"`
	Warm    bool   `cbor:"warm"`
	BootID  uint64 `cbor:"boot-id"`
	ID      uint64 `cbor:"id"`
}

// releaseBody gives a place back.
type releaseBody struct {
	ID     uint64 `cbor:"id"`
	Proven bool   `cbor:"proven"`
}

// suspectBody tells of queries that servers were lost with.
type suspectBody struct {
	Suspects []blackboard.Suspect `cbor:"suspects"`
}

// warmthBody asks which servers are warm; the reply names those that are.
type warmthBody struct {
	Servers []fleet.Warmth `cbor:"servers"`
}

// errorBody is the reply to a frame that could not be served.
type errorBody struct {
	Message string `cbor:"message"`
}

// encode makes a frame.
func encode(id uint64, k kind, body any) ([]byte, error) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	data, err := cbor.Marshal(frame{ID: id, Kind: k, Body: raw})
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return data, nil
}

// decode reads a frame.
func decode(data []byte) (frame, error) {
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return f, merry.Prepend(err, "malformed frame")
	}
	if f.Kind == "" {
		return f, merry.New("malformed frame: no kind")
	}
	return f, nil
}
