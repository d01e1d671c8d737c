package entry

import "github.com/cicadacove/cicadacove/internal/ctlview"

// The control-plane types that this package uses.
type (
	Control   = ctlview.Control
	Authority = ctlview.Authority
	Upstream  = ctlview.Upstream
	View      = ctlview.View
)
