package agent

import (
	"fmt"

	"github.com/cicadacove/cicadacove/internal/codec"
	"github.com/cicadacove/cicadacove/internal/core/revision"
)

// contracts holds the contracts of the current revision. It implements ConfigSink.
type contracts struct{ *revision.Applier }

// Revision implements ConfigSink.
func (c *contracts) Revision() uint64 { return c.Config().Revision }

// Apply implements ConfigSink.
func (c *contracts) Apply(change []byte) error {
	var update revision.Update
	if err := codec.Unmarshal(change, &update); err != nil {
		return fmt.Errorf("configuration update: %w", err)
	}
	_, err := c.Applier.Apply(update)
	return err
}
