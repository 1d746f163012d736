// Package dial makes gRPC connections, each to one address. What grpc brings
// for discovery, balancing and retries stays off.
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
	// Attempts to connect back off from the least to the largest delay.
	leastDelay   = 100 * time.Millisecond
	largestDelay = time.Second
	delayGrowth  = 1.6
	delayJitter  = 0.2
	// connectTimeout bounds one attempt to connect.
	connectTimeout = 2 * time.Second
)

// New returns a connection that is made when it is first used.
func New(address netip.AddrPort, options ...grpc.DialOption) (*grpc.ClientConn, error) {
	options = append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: leastDelay, Multiplier: delayGrowth, Jitter: delayJitter, MaxDelay: largestDelay,
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

// Parse returns a connection to an address in text form, IP:port.
func Parse(text string) (*grpc.ClientConn, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return nil, merry.Errorf("address %q: want IP:port", text)
	}
	return New(address)
}

// IsRefused tells whether nothing listens at the address, so that the call was
// not sent.
func IsRefused(err error) bool {
	s := status.Convert(err)
	return s.Code() == codes.Unavailable &&
		strings.HasPrefix(s.Message(), "connection error") &&
		strings.Contains(s.Message(), "connection refused")
}
