// Package operator implements the gRPC interface through which operators read
// and change the configuration and read the state of an instance.
package operator

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/store"
	"lentilward.org/schema/operatorpb"
)

// Server implements the operator interface.
type Server struct {
	operatorpb.UnimplementedOperatorServer
	board *blackboard.Board
	store *store.Store
	log   *slog.Logger
	// OnInstall is called after each accepted change, when the resulting
	// configuration is in force on this instance.
	OnInstall func()
}

// New returns a Server whose OnInstall does nothing. Set OnInstall before the
// server handles its first call.
func New(board *blackboard.Board, store *store.Store, log *slog.Logger) *Server {
	return &Server{board: board, store: store, log: log, OnInstall: func() {}}
}

// PutService creates or replaces a service. With CreateOnly, it refuses to
// replace one.
func (s *Server) PutService(ctx context.Context, r *operatorpb.PutServiceRequest) (*operatorpb.ChangeReply, error) {
	service, err := serviceFromProto(r.Service)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return s.applyChange(ctx, r.Change, "service/"+service.Name, func(c *blackboard.Config, change blackboard.Change) (*blackboard.Config, error) {
		old := c.Services[service.Name]
		if old != nil && r.CreateOnly {
			return nil, status.Errorf(codes.AlreadyExists, "service %q exists", service.Name)
		}
		if err := checkAddresses(c, service); err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		change.Summary = "create service " + service.Name
		if old != nil {
			change.Summary = "change service " + service.Name
		}
		return withService(c, change, service), nil
	})
}

// RemoveService removes a service.
func (s *Server) RemoveService(ctx context.Context, r *operatorpb.RemoveServiceRequest) (*operatorpb.ChangeReply, error) {
	return s.applyChange(ctx, r.Change, "service/"+r.Name, func(c *blackboard.Config, change blackboard.Change) (*blackboard.Config, error) {
		if c.Services[r.Name] == nil {
			return nil, status.Errorf(codes.NotFound, "unknown service %q", r.Name)
		}
		change.Summary = "remove service " + r.Name
		change.Removed = r.Name
		next := c.Next(change)
		delete(next.Services, r.Name)
		return next, nil
	})
}

// SetDataCentre withdraws a data centre or returns it to service.
func (s *Server) SetDataCentre(ctx context.Context, r *operatorpb.SetDataCentreRequest) (*operatorpb.ChangeReply, error) {
	return s.applyChange(ctx, r.Change, "data-centre/"+r.Name, func(c *blackboard.Config, change blackboard.Change) (*blackboard.Config, error) {
		if countServers(c)[r.Name] == 0 {
			return nil, status.Errorf(codes.NotFound, "unknown data centre %q: no service has a backend server in it", r.Name)
		}
		change.Summary = "return data centre " + r.Name
		if r.Withdrawn {
			change.Summary = "withdraw data centre " + r.Name
		}
		next := c.Next(change)
		delete(next.Withdrawn, r.Name)
		if r.Withdrawn {
			next.Withdrawn[r.Name] = next.Revision
		}
		return next, nil
	})
}

// DrainBackendServer sets or clears the draining flag of one backend server.
func (s *Server) DrainBackendServer(ctx context.Context, r *operatorpb.DrainBackendServerRequest) (*operatorpb.ChangeReply, error) {
	return s.applyChange(ctx, r.Change, "service/"+r.Service, func(c *blackboard.Config, change blackboard.Change) (*blackboard.Config, error) {
		old := c.Services[r.Service]
		if old == nil {
			return nil, status.Errorf(codes.NotFound, "unknown service %q", r.Service)
		}
		service := *old
		service.BackendServers = append([]blackboard.BackendServer(nil), old.BackendServers...)
		found := false
		for i := range service.BackendServers {
			if service.BackendServers[i].Address.String() == r.Address {
				service.BackendServers[i].Draining = r.Draining
				found = true
			}
		}
		if !found {
			return nil, status.Errorf(codes.NotFound, "service %q has no backend server %s", r.Service, r.Address)
		}
		change.Summary = "undrain backend server " + r.Address
		if r.Draining {
			change.Summary = "drain backend server " + r.Address
		}
		return withService(c, change, &service), nil
	})
}

// configEdit returns the configuration that follows c. The ID, Author, Time and
// Subject of change are set by the caller; the function completes it. It may be
// called several times.
type configEdit func(c *blackboard.Config, change blackboard.Change) (*blackboard.Config, error)

// applyChange applies edit to the newest configuration in the store, unless the
// change was accepted before, and installs the result on this instance. Every
// error that it returns is a gRPC status.
func (s *Server) applyChange(ctx context.Context, r *operatorpb.Change, subject string, edit configEdit) (*operatorpb.ChangeReply, error) {
	if r.GetChangeId() == "" || len(r.ChangeId) > maxChangeIDBytes {
		return nil, status.Errorf(codes.InvalidArgument, "change-id: want 1 to %d bytes", maxChangeIDBytes)
	}
	newChange := blackboard.Change{ID: r.ChangeId, Author: r.Author, Subject: subject, Time: time.Now().UTC()}
	config, repeated, err := s.store.Change(ctx, r.ChangeId, func(c *blackboard.Config) (*blackboard.Config, error) {
		if r.FromRevision != nil {
			if err := checkConflict(c, *r.FromRevision, subject); err != nil {
				return nil, err
			}
		}
		return edit(c, newChange)
	})
	if err != nil {
		return nil, toStatus(err)
	}
	accepted, _ := config.FindChange(r.ChangeId)
	if s.board.Install(config) {
		s.log.Info("configuration in force", "revision", config.Revision, "source", "operator", "change", accepted.Summary)
	}
	s.OnInstall()
	return &operatorpb.ChangeReply{Revision: accepted.Revision, RepeatedChange: repeated}, nil
}

// checkConflict returns an Aborted status if the subject was changed after
// baseRevision, the revision that a new change is based on, or if that revision
// is older than the history or newer than c.
func checkConflict(c *blackboard.Config, baseRevision uint64, subject string) error {
	since, complete := c.Since(baseRevision)
	conflict := !complete || baseRevision > c.Revision
	for _, h := range since {
		if h.Subject == subject {
			conflict = true
		}
	}
	if !conflict {
		return nil
	}
	detail := &operatorpb.Conflict{CurrentRevision: c.Revision, Since: historyToProto(since)}
	st, err := status.Newf(codes.Aborted, "%s was changed after revision %d; the newest is %d", subject, baseRevision, c.Revision).WithDetails(detail)
	if err != nil {
		return status.Error(codes.Internal, err.Error())
	}
	return st.Err()
}

func withService(c *blackboard.Config, change blackboard.Change, service *blackboard.Service) *blackboard.Config {
	next := c.Next(change)
	service.Revision = next.Revision
	service.ChangeID = change.ID
	next.Services[service.Name] = service
	return next
}

// toStatus returns err unchanged if it is a gRPC status, and otherwise converts
// it to one whose code states whether the change may have been accepted.
func toStatus(err error) error {
	if _, ok := status.FromError(err); ok {
		return err
	}
	switch {
	case errors.Is(err, store.ErrUnknownOutcome):
		return status.Errorf(codes.Unknown, "%v; send the change again with the same change-id", err)
	case errors.Is(err, store.ErrRolledBack):
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	return status.Errorf(codes.Unavailable, "the change was not accepted: %v", err)
}
