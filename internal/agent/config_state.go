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

// ConfigCurrent reports whether the configuration was the latest lately, so that a request
// that it doesn't allow may be refused for good.
func (a *Agent) ConfigCurrent() bool { return a.configState().Current(a.timing.ConfigLimit) }

// ConfigUsable reports whether requests that the configuration allows may be served.
func (a *Agent) ConfigUsable() bool { return a.configState().Usable(a.timing.ConfigLimit) }

func (a *Agent) configState() freshness.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.configConfirmedAt.IsZero() {
		return freshness.State{}
	}
	return freshness.State{Age: a.now().Sub(a.configConfirmedAt), Confirmed: true, Overtaken: a.overtaken}
}
