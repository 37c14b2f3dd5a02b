package settings_test

import (
	"strings"
	"testing"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/settings"
)

const good = `[vm]
name = "lisboa-a-1"
data_centre = "lisboa-a"
region = "pt-centro"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operator = "127.0.0.1:0"
[platform]
address = "127.0.0.1:9000"
`

func TestGoodSettingsGetDefaults(t *testing.T) {
	s, err := settings.Parse("f.toml", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if s.Stop.DrainSeconds != 30 || s.Log.Level != "info" || s.Limits.BodyBytes != 1<<20 {
		t.Errorf("defaults: %+v", s)
	}
}

func TestFaultsNameFileLineKeyAndRemedy(t *testing.T) {
	cases := map[string]struct {
		text    string
		message string
		remedy  string
	}{
		"host name":       {strings.Replace(good, `"127.0.0.1:9000"`, `"platform.example:9000"`, 1), "f.toml:10: platform.address", "names are not looked up"},
		"unknown key":     {good + "[vm2]\nx = 1\n", "f.toml:11: vm2: unknown key", "remove the key"},
		"misspelt key":    {strings.Replace(good, "region", "regoin", 1), "f.toml:4: vm.regoin: unknown key", "correct its spelling"},
		"wrong type":      {strings.Replace(good, `"lisboa-a-1"`, `7`, 1), "f.toml:2", "correct this line"},
		"dot in name":     {strings.Replace(good, "lisboa-a-1", "a.b", 1), "f.toml:2: vm.name", "unique in the fleet"},
		"missing table":   {strings.Replace(good, "[platform]\naddress = \"127.0.0.1:9000\"\n", "", 1), "platform.address", "IP number"},
		"half of TLS":     {good + "[tls]\ncallers_cert = \"a\"\n", "f.toml:12: tls.callers_cert", "together"},
		"half of mutual":  {good + "[tls]\npeers_cert = \"a\"\n", "f.toml:12: tls.peers_cert", "together"},
		"unknown policy":  {good + "[policy]\nplacement = \"best\"\n", "f.toml:12: policy.placement", "predictive"},
		"bad seed":        {good + "[peers]\nseeds = [\"x:1\"]\n", "f.toml:12: peers.seeds", "IP numbers"},
		"no drain":        {good + "[stop]\ndrain_seconds = 0\n", "f.toml:12: stop.drain_seconds", "seconds"},
		"not TOML at all": {"[vm", "f.toml:1", "correct this line"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse("f.toml", []byte(tc.text))
			if err == nil {
				t.Fatal("accepted")
			}
			d := fault.DetailOf(err)
			if !strings.Contains(d.Message, tc.message) || !strings.Contains(d.Remedy, tc.remedy) || d.Kind != fault.Malformed {
				t.Errorf("got %+v", d)
			}
		})
	}
}

func TestAllFaultsAreListedAtOnce(t *testing.T) {
	_, err := settings.Parse("f.toml", nil)
	for _, key := range []string{"vm.name", "vm.data_centre", "vm.region", "listen.callers", "listen.peers", "listen.operator", "platform.address"} {
		if !strings.Contains(fault.DetailOf(err).Message, key) {
			t.Errorf("%s is not named in %v", key, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := settings.Parse("f.toml", raw)
		if err == nil && (s.VM.Name == "" || s.Limits.Requests <= 0) {
			t.Fatalf("accepted %+v", s)
		}
	})
}
