package bounded

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestReadAll(t *testing.T) {
	for size, fits := range map[int]bool{0: true, 99: true, 100: true, 101: false, 5000: false} {
		content, err := ReadAll(strings.NewReader(strings.Repeat("x", size)), 100)
		if !fits {
			assert.Assert(t, errors.Is(err, ErrTooLarge), "%d bytes", size)
			assert.Equal(t, len(content), 0)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, len(content), size)
	}
}
