package conf_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/conf"
	"hatchproxy/logic"
)

const validConfig = `name = "n0"
listen = "127.0.0.1:8081"
[pool]
list = "127.0.0.1:8500"
zones = ["a", "b"]
zone = "b"
[[pool.product]]
name = "chat"
repeat = "stamped"
reach = "group"
window = "2s"
quoted = "300ms"
limit = "1.5s"
message = "150ms"
`

func TestPlatformConfigWithDefaults(t *testing.T) {
	file, err := conf.Parse("x", []byte(validConfig))
	require.NoError(t, err)
	config, err := file.PlatformConfig(7)
	require.NoError(t, err)
	names, limits := config.Products()
	require.Equal(t, []string{"chat"}, names)
	require.Equal(t, []logic.Micros{1500 * logic.Millisecond}, limits)
	require.Equal(t, 250*logic.Millisecond, config.DialTimeout())
	require.Equal(t, 10*logic.Second, config.MaxPollInterval())
	require.Equal(t, 50*logic.Millisecond, config.LateThreshold())
	zones, _ := config.ZonesAndModels()
	require.Equal(t, []string{"a", "b"}, zones)
	_, memory, sockets := config.Resources()
	require.EqualValues(t, 192<<20, memory)
	require.EqualValues(t, 1024, sockets)
	require.Nil(t, file.Limits.NewLimiter(1), "there is no limiter without limits")
}

func TestAllFaultsAreReportedWithTheirPosition(t *testing.T) {
	for text, want := range map[string][]string{
		validConfig + "[limit]\nset-ups = 5\n":                                               {`x:15: limit is unknown; is "limits" meant?`},
		validConfig + "[limits]\nset-up = 5\n":                                               {`x:16: limits.set-up is unknown; is "set-ups" meant?`},
		validConfig + "[resources]\nmemory = \"64 MB\"\n":                                    {`x:16: "64 MB" is no size such as "64MiB"`},
		validConfig + "[limits]\nlongest-wait = 5\n":                                         {"x:16: "},
		validConfig + "[limits]\nburst = 5.0\n":                                              {"x:16: limits.burst: says nothing without set-ups"},
		validConfig + "[limits]\nstanding = 600\n":                                           {"x:16: limits.standing: 600 connections need 1200 sockets"},
		validConfig + "[limits]\nset-ups = 5.0\naddress-set-ups = 9.0\nretry-share = -1.0\n": {"x:17: limits.address-set-ups: one address may have 9", "x:18: limits.retry-share"},
		validConfig + "[[pool.product]]\nname = \"chat\"\nrepeat = \"twice\"\nquoted = \"5s\"\nlimit = \"1s\"\n": {`x:16: pool.product[1].name: "chat" is named twice`,
			"x:17: pool.product[1].repeat", "x:18: pool.product[1].quoted"},
		"listen = \"here\"\n[pool]\nzones = [\"a\"]\nzone = \"c\"\n": {"x: name: is missing", "x:1: listen:", "x:2: pool.list", `x:4: pool.zone: "c" is none of [a]`, "x:2: pool.product: is missing"},
		"name = 5\n": {"x:1: "},
		"name":       {"x:1: "},
	} {
		_, err := conf.Parse("x", []byte(text))
		for _, part := range want {
			require.ErrorContains(t, err, part, text)
		}
	}
}

func TestTheExampleIsValid(t *testing.T) {
	file, err := conf.Read("../examples/hatchproxy.toml")
	require.NoError(t, err)
	require.NotNil(t, file.Limits.NewLimiter(1))
	_, err = file.PlatformConfig(1)
	require.NoError(t, err)
	_, err = conf.Read("nowhere.toml")
	require.ErrorIs(t, err, os.ErrNotExist)
}

// No file may cause a panic, and every valid file can be converted.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Add([]byte(validConfig + "[limits]\nset-ups = nan\nstanding = -9223372036854775808\n"))
	f.Add([]byte("[[pool.product]]\n[[pool.product]]\nname=\"\"\n[pool.rules]\nstart=inf\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := conf.Parse("x", text)
		if err != nil {
			return
		}
		_, err = file.PlatformConfig(1)
		require.NoError(t, err)
		file.Limits.NewLimiter(1)
	})
}
