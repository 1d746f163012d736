// Package dial makes gRPC connections, each to one address. What grpc brings
// for discovery, balancing and retries stays off.
package dial

import (
	"net/netip"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// New returns a connection that is made when it is first used.
func New(address netip.AddrPort, options ...grpc.DialOption) (*grpc.ClientConn, error) {
	options = append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
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
