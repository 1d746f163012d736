// Package peer implements the protocol between instances: CBOR frames over
// WebSocket connections.
package peer

import (
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/fleet"
	"lentilward.org/lentilward/member"
	"lentilward.org/lentilward/memory"
	"lentilward.org/lentilward/mirror"
	"lentilward.org/lentilward/suspect"
)

// maxFrameBytes is the size of the largest frame that is accepted.
const maxFrameBytes = 4 << 20

// errMalformed means that a message is not a frame.
var errMalformed = merry.Sentinel("malformed frame")

// kind is the type of a frame; it determines the type of the body.
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
	kindTrial   kind = "trial"
	kindWarmth  kind = "warmth"
	kindRecords kind = "records"
	kindGather  kind = "gather"
	kindPartial kind = "partial"
	kindCancel  kind = "cancel"
	kindPace    kind = "pace"
)

// frame is one message. A reply has the ID of the frame that it replies to.
type frame struct {
	ID   uint64          `cbor:"id"`
	Kind kind            `cbor:"kind"`
	Body cbor.RawMessage `cbor:"body"`

	// hold has the memory of a received frame.
	hold *memory.Hold
}

// pingBody is the body of a ping and of its reply.
type pingBody = member.Gossip

// configBody requests the configuration changes after a revision; the reply is a
// blackboard.Delta.
type configBody struct {
	Since uint64 `cbor:"have"`
}

// RecordsReply is the reply to a request for records: a peer's changes after a
// version, and all of its suspect requests.
type RecordsReply struct {
	mirror.Delta
	Suspects []suspect.Report `cbor:"suspects,omitempty"`
}

// recordsBody requests the records changed after a revision of an era; the reply is a
// RecordsReply.
type recordsBody struct {
	Since uint64 `cbor:"since"`
	Era   uint64 `cbor:"era,omitempty"`
	// Confirm makes the receiver ask the store first whether its records are up to date.
	Confirm bool `cbor:"confirm,omitempty"`
}

// cancelBody cancels a gather. Abandoned is set if the caller has disconnected; the
// gather's calls in flight are then aborted as well.
type cancelBody struct {
	ID        uint64 `cbor:"id"`
	Abandoned bool   `cbor:"hard"`
}

// pingViaBody requests an indirect probe: the receiver pings the target.
type pingViaBody struct {
	Target netip.AddrPort `cbor:"target"`
}

// permitBody requests a slot of a cold server from the instance that owns it. The
// owner may delay its reply by up to Wait until a slot is free.
type permitBody struct {
	Address netip.AddrPort   `cbor:"address"`
	BootID  uint64           `cbor:"boot-id"`
	Class   blackboard.Class `cbor:"class"`
	Wait    time.Duration    `cbor:"wait"`
}

// permitReply is the reply to a permitBody. Warm is set if the server is warm, so
// that no permit is needed. ID names the permit in a releaseBody.
type permitReply struct {
	Granted bool   `cbor:"granted"`
	Warm    bool   `cbor:"warm"`
	BootID  uint64 `cbor:"boot-id"`
	ID      uint64 `cbor:"id"`
}

// releaseBody returns a permit. Succeeded is set if the call that used it succeeded.
type releaseBody struct {
	ID        uint64 `cbor:"id"`
	Succeeded bool   `cbor:"proven"`
}

// suspectBody reports suspect requests. The reply has those that have run well on the
// receiver since.
type suspectBody struct {
	Suspects []suspect.Report `cbor:"suspects"`
}

// trialBody asks whether a refused request may run as a trial of at most the length given,
// or ends such a trial. The reply is a suspect.Grant.
type trialBody struct {
	Known  suspect.Report `cbor:"known"`
	Length time.Duration  `cbor:"length,omitempty"`
	Ended  bool           `cbor:"ended,omitempty"`
}

// warmthBody requests which of the servers are warm; the reply lists those that
// are.
type warmthBody struct {
	Servers []fleet.ServerProcess `cbor:"servers"`
}

// errorBody is the reply to a frame whose handling failed.
type errorBody struct {
	Message string `cbor:"message"`
}

// encodeFrame encodes a frame and its body.
func encodeFrame(id uint64, k kind, body any) ([]byte, error) {
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

// decodeFrame decodes a frame; its body stays encoded.
func decodeFrame(data []byte) (frame, error) {
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return f, merry.Prepend(errMalformed, err.Error())
	}
	if f.Kind == "" {
		return f, merry.Prepend(errMalformed, "kind is missing")
	}
	return f, nil
}
