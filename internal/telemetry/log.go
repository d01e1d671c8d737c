package telemetry

import (
	"fmt"

	"k8s.io/klog/v2"
)

// callerDepth skips the Logger's own frame, so that klog prints the position
// of the call.
const callerDepth = 1

// Logger logs the messages of one component, each with the component's prefix.
type Logger struct {
	prefix string
}

// Log returns the logger of a component, such as "failover".
func Log(component string) Logger { return Logger{prefix: component + ": "} }

// Infof logs an event that is of interest to an operator.
func (l Logger) Infof(format string, args ...any) {
	klog.InfoDepth(callerDepth, l.prefix+fmt.Sprintf(format, args...))
}

// Debugf logs a detail. It is shown at verbosity 2 and above.
func (l Logger) Debugf(format string, args ...any) {
	if klog.V(2).Enabled() {
		klog.InfoDepth(callerDepth, l.prefix+fmt.Sprintf(format, args...))
	}
}

// Warningf logs a problem that the system handles by itself.
func (l Logger) Warningf(format string, args ...any) {
	klog.WarningDepth(callerDepth, l.prefix+fmt.Sprintf(format, args...))
}

// Errorf logs a problem that requires action by an operator.
func (l Logger) Errorf(format string, args ...any) {
	klog.ErrorDepth(callerDepth, l.prefix+fmt.Sprintf(format, args...))
}
