package http1

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// A server sends an unrequested second response after the requested one. The client must not reuse the connection, or
// it would read the second response as that to its next request.
func TestClientLeftover(t *testing.T) {
	listener := listen(t)
	defer listener.Close()
	go func() {
		for i := 1; ; i++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			response := func(body string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body }
			conn.Read(make([]byte, 4096))
			fmt.Fprint(conn, response(fmt.Sprint(i))+response("x"))
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	client := &Client{}
	defer client.Close()
	for _, want := range []string{"1", "2"} {
		response, err := client.Call(ctx, "GET", listener.Addr().String(), "/", nil)
		if err != nil {
			t.Fatal(err)
		}
		if string(response.Body) != want {
			t.Errorf("body of the response: got %q, want %q", response.Body, want)
		}
	}
}
