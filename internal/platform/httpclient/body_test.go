package httpclient

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSealExcludesRead(t *testing.T) {
	sealed := newBody([]byte("x"))
	lateReader := sealed.reader()
	require.True(t, sealed.seal())
	require.True(t, sealed.seal())
	_, err := io.ReadAll(lateReader)
	require.ErrorIs(t, err, errSealed)

	read := newBody([]byte("x"))
	data, err := io.ReadAll(read.reader())
	require.NoError(t, err)
	require.Equal(t, "x", string(data))
	require.False(t, read.seal())
	data, err = io.ReadAll(read.reader())
	require.NoError(t, err, "the HTTP transport may read again")
	require.Equal(t, "x", string(data))
}
