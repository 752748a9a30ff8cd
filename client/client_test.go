package client

import (
	"strings"
	"testing"
)

// testDocument has two tables: of "sheet" with all requests admitted, and of "finish" with half of them.
const testDocument = `{"proxy":"p","tables":{
	"sheet":{"hosts":{"a:1":1,"b:1":3},"share":1,"tries":1},
	"finish":{"hosts":{"a:1":1},"share":0.5,"tries":0}}}`

// newTestClient returns a client with a fixed seed and the tables of a document; "" for none.
func newTestClient(t *testing.T, options Options, document string) *Client {
	t.Helper()
	options.Controllers = []string{"http://127.0.0.1:1"}
	options.Proxy = "p"
	options.Zone = "a"
	client, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	client.seed = 5
	if document == "" {
		return client
	}
	if err := client.tables.setSnapshot("s", "1", []byte(document), unchecked); err != nil {
		t.Fatal(err)
	}
	return client
}

// unchecked accepts all documents.
func unchecked([]byte) error { return nil }

func TestOptions(t *testing.T) {
	for _, test := range []struct {
		name    string
		options Options
		want    string // part of the error; "" for none
	}{
		{"complete", Options{Proxy: "p", Zone: "a", Controllers: []string{"https://controller:1/"}}, ""},
		{"no proxy", Options{Zone: "a"}, "proxy's name"},
		{"no zone", Options{Proxy: "p"}, "its zone"},
		{"no scheme", Options{Proxy: "p", Zone: "a", Controllers: []string{"controller:1"}}, "controller:1"},
		{"no host", Options{Proxy: "p", Zone: "a", Controllers: []string{"http://"}}, "http://"},
		{"no URL", Options{Proxy: "p", Zone: "a", Controllers: []string{"http://%"}}, "not the URL"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := New(test.options)
			isExpected := err == nil && test.want == "" ||
				err != nil && test.want != "" && strings.Contains(err.Error(), test.want)
			if !isExpected {
				t.Errorf("error of New: got %v, want %q", err, test.want)
			}
		})
	}
}

// Load applies tables that did not come by polls, and Tables returns a copy.
func TestLoad(t *testing.T) {
	client := newTestClient(t, Options{}, "")
	if err := client.Load("1", []byte(testDocument)); err != nil {
		t.Fatal(err)
	}
	tables := client.Tables()
	if len(tables) != 2 || len(tables["sheet"].Hosts) != 2 {
		t.Errorf("tables: got %+v, want two, that of sheet with two hosts", tables)
	}
	delete(tables, "sheet")
	if len(client.Tables()) != 2 {
		t.Error("Tables returned the client's own map")
	}
	if controller := client.Controller(); controller != "" {
		t.Errorf("controller before the first poll: got %q, want none", controller)
	}
	if err := client.Load("2", []byte(`{}`)); err == nil {
		t.Error("Load of a document without tables: got no error")
	}
}
