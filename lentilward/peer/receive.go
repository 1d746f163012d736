package peer

import (
	"context"
	"errors"
	"io"

	"github.com/coder/websocket"

	"lentilward.org/lentilward/memory"
)

// maxHeaderBytes bounds the header of the reply that opens a connection to a peer.
const maxHeaderBytes = 64 << 10

// minReadBytes is the size of the buffer into which a frame is read at first.
const minReadBytes = 512

// receiveFrame reads a frame. Its bytes are held in the limit, from the first on, until the
// frame's hold is released. After an error the connection must be closed.
func receiveFrame(ctx context.Context, conn *websocket.Conn, limit *memory.Limit, traffic *Traffic) (frame, error) {
	hold := limit.NewHold()
	data, err := readMessage(ctx, conn, hold)
	traffic.ReceivedBytes.Add(int64(len(data)))
	if err != nil {
		hold.Release()
		return frame{}, err
	}
	f, err := decodeFrame(data)
	if err != nil {
		hold.Release()
		traffic.MalformedFrames.Add(1)
		return frame{}, err
	}
	f.hold = hold
	return f, nil
}

// readMessage reads one message of a connection.
func readMessage(ctx context.Context, conn *websocket.Conn, hold *memory.Hold) ([]byte, error) {
	_, reader, err := conn.Reader(ctx)
	if err != nil {
		return nil, err
	}
	data := make([]byte, 0, minReadBytes)
	for {
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if failure := hold.Take(int64(n)); failure != nil {
			return data, failure
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}
