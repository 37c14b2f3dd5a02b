package traffic

import "testing"

func TestRequestKey(t *testing.T) {
	call := func(change func(*Call)) *Call {
		c := &Call{
			ID: "1", Method: "GET", Host: "h", RequestURI: "/a?b=1", Body: []byte("body"), Workspace: &Workspace{Name: "w"},
			PromptParts: []string{"p"},
		}
		change(c)
		return c
	}
	key := call(func(*Call) {}).RequestKey()
	if !IsRequestKey(key) || IsRequestKey("5c1e07a2") {
		t.Errorf("%q or the id of a part is taken for the other", key)
	}
	for name, tc := range map[string]struct {
		change func(*Call)
		same   bool
	}{
		"another id":           {func(c *Call) { c.ID = "2" }, true},
		"other prompt parts":   {func(c *Call) { c.PromptParts = nil }, true},
		"another key":          {func(c *Call) { c.Key = "k" }, true},
		"another body":         {func(c *Call) { c.Body = []byte("bode") }, false},
		"another query":        {func(c *Call) { c.RequestURI = "/a?b=2" }, false},
		"another workspace":    {func(c *Call) { c.Workspace = nil }, false},
		"another host":         {func(c *Call) { c.Host = "i" }, false},
		"another method":       {func(c *Call) { c.Method = "PUT" }, false},
		"fields divided anew":  {func(c *Call) { c.Host, c.RequestURI = "h/a", "?b=1" }, false},
		"body moved to target": {func(c *Call) { c.RequestURI, c.Body = "/a?b=1body", nil }, false},
	} {
		if got := call(tc.change).RequestKey(); (got == key) != tc.same {
			t.Errorf("%s: key %s, the other one %s", name, got, key)
		}
	}
}
