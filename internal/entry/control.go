package entry

import "github.com/cicadacove/cicadacove/internal/ctlview"

// Types of the control side.
type (
	Control   = ctlview.Control
	Authority = ctlview.Authority
	Upstream  = ctlview.Upstream
	View      = ctlview.View
)
