// Package operator serves the interface of operators.
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

// Server serves the operator interface.
type Server struct {
	operatorpb.UnimplementedOperatorServer
	board *blackboard.Board
	store *store.Store
	log   *slog.Logger
	// Installed is called after an accepted change is in force here.
	Installed func()
}

// New returns a server; Installed must be set before it serves.
func New(board *blackboard.Board, store *store.Store, log *slog.Logger) *Server {
	return &Server{board: board, store: store, log: log, Installed: func() {}}
}

// PutService creates or replaces a service.
func (s *Server) PutService(ctx context.Context, r *operatorpb.PutServiceRequest) (*operatorpb.ChangeReply, error) {
	service, err := fromProto(r.Service)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return s.change(ctx, r.Change, "service/"+service.Name, func(c *blackboard.Config, change blackboard.Change) (*blackboard.Config, error) {
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
	return s.change(ctx, r.Change, "service/"+r.Name, func(c *blackboard.Config, change blackboard.Change) (*blackboard.Config, error) {
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

// SetDataCentre withdraws or returns a data centre.
func (s *Server) SetDataCentre(ctx context.Context, r *operatorpb.SetDataCentreRequest) (*operatorpb.ChangeReply, error) {
	return s.change(ctx, r.Change, "data-centre/"+r.Name, func(c *blackboard.Config, change blackboard.Change) (*blackboard.Config, error) {
		if countServers(c)[r.Name] == 0 {
			return nil, status.Errorf(codes.NotFound, "unknown data centre %q: no backend server is there", r.Name)
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

// DrainBackendServer takes one server out of service or back.
func (s *Server) DrainBackendServer(ctx context.Context, r *operatorpb.DrainBackendServerRequest) (*operatorpb.ChangeReply, error) {
	return s.change(ctx, r.Change, "service/"+r.Service, func(c *blackboard.Config, change blackboard.Change) (*blackboard.Config, error) {
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

// edit makes the next configuration with a change that has its id, author,
// time and subject.
type edit func(c *blackboard.Config, change blackboard.Change) (*blackboard.Config, error)

// change applies one change and puts it in force here.
func (s *Server) change(ctx context.Context, r *operatorpb.Change, subject string, e edit) (*operatorpb.ChangeReply, error) {
	if r.GetChangeId() == "" || len(r.ChangeId) > maxChangeID {
		return nil, status.Errorf(codes.InvalidArgument, "change-id: want 1 to %d bytes", maxChangeID)
	}
	made := blackboard.Change{ID: r.ChangeId, Author: r.Author, Subject: subject, Time: time.Now().UTC()}
	config, repeated, err := s.store.Change(ctx, r.ChangeId, func(c *blackboard.Config) (*blackboard.Config, error) {
		if r.FromRevision != nil {
			if err := checkConflict(c, *r.FromRevision, subject); err != nil {
				return nil, err
			}
		}
		return e(c, made)
	})
	if err != nil {
		return nil, toStatus(err)
	}
	accepted, _ := config.FindChange(r.ChangeId)
	if s.board.Install(config) {
		s.log.Info("configuration in force", "revision", config.Revision, "source", "operator", "change", accepted.Summary)
	}
	s.Installed()
	return &operatorpb.ChangeReply{Revision: accepted.Revision, RepeatedChange: repeated}, nil
}

// checkConflict refuses a change if its subject was changed after the revision
// that it was made from.
func checkConflict(c *blackboard.Config, from uint64, subject string) error {
	since, complete := c.Since(from)
	conflict := !complete || from > c.Revision
	for _, h := range since {
		if h.Subject == subject {
			conflict = true
		}
	}
	if !conflict {
		return nil
	}
	detail := &operatorpb.Conflict{CurrentRevision: c.Revision, Since: historyToProto(since)}
	st, err := status.Newf(codes.Aborted, "%s was changed after revision %d; the newest is %d", subject, from, c.Revision).WithDetails(detail)
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

// toStatus keeps errors that are statuses and names the others.
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
