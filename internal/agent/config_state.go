package agent

import (
	"time"

	"github.com/cicadacove/cicadacove/internal/core/freshness"
)

// ConfigAge returns the time since the renewal was sent whose answer last showed that the
// configuration was the latest. known is false before the first one.
func (a *Agent) ConfigAge() (age time.Duration, known bool) {
	s := a.configState()
	return s.Age, s.Confirmed
}

// ConfigTrust returns what the instance may do by its configuration. A configuration that is
// read after the call is at least as recent as the result assumes.
func (a *Agent) ConfigTrust() freshness.Trust { return a.configState().Trust(a.timing.ConfigLimit) }

func (a *Agent) configState() freshness.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.configConfirmedAt.IsZero() {
		return freshness.State{}
	}
	return freshness.State{Age: a.now().Sub(a.configConfirmedAt), Confirmed: true, Overtaken: a.overtaken}
}
