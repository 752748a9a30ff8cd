package http1

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"
)

// A server says more than it was asked: the connection is not kept, so that the rest is not taken for the next answer.
func TestClientLeftover(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for i := 1; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			one := func(body string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body }
			c.Read(make([]byte, 4096))
			fmt.Fprint(c, one(fmt.Sprint(i))+one("x"))
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c := &Client{}
	defer c.Close()
	for _, want := range []string{"1", "2"} {
		r, err := c.Call(ctx, "GET", l.Addr().String(), "/", nil)
		if err != nil {
			t.Fatal(err)
		}
		if string(r.Body) != want {
			t.Errorf("got %q, not %q", r.Body, want)
		}
	}
}
