package member

import "context"

// Identity returns the member id of the durable identity, as runRole does before it opens the role.
func (s *Supervisor) Identity(ctx context.Context) (uint64, error) {
	id, err := s.loadOrCreateIdentity(ctx)
	return id.Member, err
}

// Discard gives up the identity, as run does after a removal from the group.
func (s *Supervisor) Discard() error { return s.markDiscarded() }
