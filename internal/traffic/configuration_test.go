package traffic

import "testing"

// TestHostsMatchInAnyCase guards against routes that get no calls because their host is written with a capital letter.
func TestHostsMatchInAnyCase(t *testing.T) {
	routes := []*Route{{Name: "a", Host: "Mercado.example", Prefix: "/a/"}, {Name: "ab", Host: "mercado.EXAMPLE", Prefix: "/a/b/"}}
	c := NewConfiguration(1, routes, nil, nil, Limits{})
	for _, host := range []string{"Mercado.example", "mercado.example", "MERCADO.EXAMPLE:80"} {
		for path, want := range map[string]string{"/a/x": "a", "/a/b/x": "ab"} {
			if r := c.Match(host, path); r == nil || r.Name != want {
				t.Errorf("%s%s matches %+v, want %s", host, path, r, want)
			}
		}
	}
}
