package platform

import (
	"context"

	"lentilward.org/schema/platformpb"
)

// Instances is the platform's list of instances.
type Instances struct {
	platformpb.UnimplementedInstancesServer
	instances []*platformpb.Instance
}

// NewInstances returns a list that stays as given.
func NewInstances(instances []*platformpb.Instance) *Instances {
	return &Instances{instances: instances}
}

// List returns the instances.
func (i *Instances) List(context.Context, *platformpb.ListRequest) (*platformpb.ListReply, error) {
	return &platformpb.ListReply{Instances: i.instances}, nil
}
