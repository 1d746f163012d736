// Package dial creates gRPC client connections to single addresses, with gRPC's
// own service discovery, load balancing and retries disabled.
package dial

import (
	"net/netip"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

const (
	// Failed connection attempts are repeated with exponential backoff.
	initialBackoff    = 100 * time.Millisecond
	maxBackoff        = time.Second
	backoffMultiplier = 1.6
	backoffJitter     = 0.2
	// connectTimeout bounds one connection attempt.
	connectTimeout = 2 * time.Second
	// maxHeaderListBytes bounds the headers of a reply.
	maxHeaderListBytes = 64 << 10
)

// New returns a connection to address that is established on first use.
func New(address netip.AddrPort, options ...grpc.DialOption) (*grpc.ClientConn, error) {
	options = append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithMaxHeaderListSize(maxHeaderListBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: initialBackoff, Multiplier: backoffMultiplier, Jitter: backoffJitter, MaxDelay: maxBackoff,
			},
			MinConnectTimeout: connectTimeout,
		}),
	}, options...)
	conn, err := grpc.NewClient("passthrough:///"+address.String(), options...)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return conn, nil
}

// NewFromString returns a connection to an address given as text in the form
// IP:port.
func NewFromString(text string) (*grpc.ClientConn, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return nil, merry.Errorf("address %q: want IP:port", text)
	}
	return New(address)
}

// IsConnectionRefused reports whether err means that the connection was refused
// because nothing listens at the address, so that the call was not sent.
func IsConnectionRefused(err error) bool {
	s := status.Convert(err)
	return s.Code() == codes.Unavailable &&
		strings.HasPrefix(s.Message(), "connection error") &&
		strings.Contains(s.Message(), "connection refused")
}
