package settings_test

import (
	"strings"
	"testing"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/settings"
)

const validSettings = `[vm]
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

func TestOmittedSettingsGetDefaults(t *testing.T) {
	s, err := settings.Parse("f.toml", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Stop.NoticeSeconds != 3 || s.Stop.DrainSeconds != 30 || s.Log.Level != "info" || s.Limits.BodyBytes != 1<<20 {
		t.Errorf("unexpected defaults: %+v", s)
	}
}

func TestErrorsNameFileLineKeyAndRemedy(t *testing.T) {
	cases := map[string]struct {
		text    string
		message string
		remedy  string
	}{
		"host name":       {strings.Replace(validSettings, `"127.0.0.1:9000"`, `"platform.example:9000"`, 1), "f.toml:10: platform.address", "names are not looked up"},
		"unknown key":     {validSettings + "[vm2]\nx = 1\n", "f.toml:11: vm2: unknown key", "remove the key"},
		"misspelt key":    {strings.Replace(validSettings, "region", "regoin", 1), "f.toml:4: vm.regoin: unknown key", "correct its spelling"},
		"wrong type":      {strings.Replace(validSettings, `"lisboa-a-1"`, `7`, 1), "f.toml:2", "correct this line"},
		"dot in name":     {strings.Replace(validSettings, "lisboa-a-1", "a.b", 1), "f.toml:2: vm.name", "unique in the fleet"},
		"missing table":   {strings.Replace(validSettings, "[platform]\naddress = \"127.0.0.1:9000\"\n", "", 1), "platform.address", "IP address"},
		"partial TLS":     {validSettings + "[tls]\ncallers_cert = \"a\"\n", "f.toml:12: tls.callers_cert", "together"},
		"partial mTLS":    {validSettings + "[tls]\npeers_cert = \"a\"\n", "f.toml:12: tls.peers_cert", "together"},
		"unknown policy":  {validSettings + "[policy]\nplacement = \"best\"\n", "f.toml:12: policy.placement", "predictive"},
		"bad seed":        {validSettings + "[peers]\nseeds = [\"x:1\"]\n", "f.toml:12: peers.seeds", "IP addresses"},
		"negative notice": {validSettings + "[stop]\nnotice_seconds = -1\n", "f.toml:12: stop.notice_seconds", "seconds"},
		"zero drain time": {validSettings + "[stop]\ndrain_seconds = 0\n", "f.toml:12: stop.drain_seconds", "seconds"},
		"syntax error":    {"[vm", "f.toml:1", "correct this line"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse("f.toml", []byte(tc.text))
			if err == nil {
				t.Fatal("Parse accepted invalid settings")
			}
			d := fault.DetailOf(err)
			if !strings.Contains(d.Message, tc.message) || !strings.Contains(d.Remedy, tc.remedy) || d.Kind != fault.Malformed {
				t.Errorf("got %+v", d)
			}
		})
	}
}

func TestErrorListsAllMissingKeys(t *testing.T) {
	_, err := settings.Parse("f.toml", nil)
	for _, key := range []string{"vm.name", "vm.data_centre", "vm.region", "listen.callers", "listen.peers", "listen.operator", "platform.address"} {
		if !strings.Contains(fault.DetailOf(err).Message, key) {
			t.Errorf("the error does not name %s: %v", key, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := settings.Parse("f.toml", raw)
		if err == nil && (s.VM.Name == "" || s.Limits.Requests <= 0) {
			t.Fatalf("Parse accepted invalid settings: %+v", s)
		}
	})
}
