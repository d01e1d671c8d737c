package contain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRuntimeErrorsAreReturned(t *testing.T) {
	require.NoError(t, Run(func() {}))
	var waits [4]int
	index := len(waits)
	err := Run(func() { waits[index]++ })
	var contained *Error
	require.ErrorAs(t, err, &contained)
	require.ErrorContains(t, err, "index out of range [4]")
	require.Contains(t, contained.Stack, "contain_test.go")
	require.LessOrEqual(t, len(contained.Stack), maxStackBytes)
	require.True(t, strings.HasPrefix(err.Error(), "unexpected error: "))
}

func TestBrokenInvariantsPass(t *testing.T) {
	require.PanicsWithValue(t, "two leaders in one term", func() {
		_ = Run(func() { panic("two leaders in one term") })
	})
}
