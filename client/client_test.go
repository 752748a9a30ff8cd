package client

import "testing"

func made(t *testing.T, o Options, body string) *Client {
	t.Helper()
	o.Stewards, o.Proxy, o.Zone = []string{"http://127.0.0.1:1"}, "p", "a"
	c, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	c.seed = 5
	if body != "" {
		if err := c.tables.setSnapshot("s", "1", []byte(body), unchecked); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

func unchecked([]byte) error { return nil }
