package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestNowAdvancesAndCarriesNoMonotonicReading(t *testing.T) {
	a := Now()
	time.Sleep(time.Millisecond)
	b := Now()
	require.True(t, b.After(a))
	require.Equal(t, a, a.Round(0), "a monotonic reading would hide a suspension")
	require.Positive(t, Since(a))
	require.Negative(t, Until(a))
}
