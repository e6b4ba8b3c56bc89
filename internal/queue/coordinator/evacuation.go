package coordinator

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/bluebellgauge/bluebellgauge/internal/wire/messages"
)

// Evacuate starts or ends the evacuation of a data centre.
func (c *Coordinator) Evacuate(context.Context, *messages.EvacuationOrder) (*messages.Verdict, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "evacuations are not supported")
}

// Evacuations lists the data centres that are evacuated.
func (c *Coordinator) Evacuations(context.Context, *messages.Lookup) (*messages.EvacuationList, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "evacuations are not supported")
}
