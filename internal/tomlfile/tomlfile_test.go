package tomlfile_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/tomlfile"
)

type testConfig struct {
	Name   string
	Listen struct {
		Address  string
		MostOpen int `toml:"most-open"`
	}
	Pool       []struct{ Name string }
	unexported int
}

func TestUnknownKeysAreReportedWithLineAndSuggestion(t *testing.T) {
	var config testConfig
	err := tomlfile.Decode("x", []byte("nmae = 'a'\n[listen]\nmostopen = 5\n[[pool]]\nName = 'b'\nzebra = 1\n"), &config)
	require.ErrorContains(t, err, `x:1: nmae is unknown; is "name" meant?`)
	require.ErrorContains(t, err, `x:3: listen.mostopen is unknown; is "most-open" meant?`)
	require.ErrorContains(t, err, "x:6: pool.zebra is unknown")
	require.NotContains(t, err.Error(), "zebra is unknown;")
	require.ErrorContains(t, tomlfile.Decode("x", []byte("\nname = 5"), &config), "x:2: ")
	require.ErrorContains(t, tomlfile.Decode("x", []byte("name = "), &config), "x:1: ")
	require.Zero(t, config.unexported)
}

func TestPositionOfAKeyOrItsTable(t *testing.T) {
	positions := tomlfile.FindPositions("x", []byte("name = 1\n[listen]\naddress = 2\n[[pool]]\nname = 3\n[[pool]]\na.b = 4\n"))
	for key, want := range map[string]string{"name": "x:1", "listen.address": "x:3", "listen.nothing": "x:2", "pool[0].name": "x:5",
		"pool[1].a.b": "x:7", "pool[1].name": "x:6", "nothing": "x"} {
		require.Equal(t, want, positions.At(key))
	}
}
