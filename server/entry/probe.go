package entry

import (
	"context"
	"net/http"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/process"
	"cowsliptiller/server/wire"
)

// probeTries is one for the connection that is there, which may have gone
// silent, and one for the new connection that takes its place.
const probeTries = 2

// prove makes sure that the connection to an agent is alive. A connection that
// something between the two ends has lost track of takes a request and gives
// nothing back; a call that may not be repeated would end as unknown there. The
// probe goes first, over the connection that the call will use, and may be
// repeated as often as need be. fault.Unavailable: nothing was handed over.
func (e *Entry) prove(ctx context.Context, agent *coordpb.Host) error {
	var err error
	for range probeTries {
		if err = e.probe(ctx, agent); err == nil {
			return nil
		}
	}
	return err
}

func (e *Entry) probe(ctx context.Context, agent *coordpb.Host) error {
	ctx, cancel := context.WithTimeout(ctx, process.DeadConnectionTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+agent.Address+wire.ProbePath, nil)
	if err != nil {
		return fault.New(fault.Unavailable, "the agent's address cannot be used")
	}
	res, err := e.cfg.Client.Do(req)
	if err != nil {
		return fault.New(fault.Unavailable, "the agent does not answer a probe")
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusNoContent {
		return fault.New(fault.Unavailable, "the agent answers a probe with status %d", res.StatusCode)
	}
	return nil
}
