package dialer

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

func TestReroute(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	const advertised = "192.0.2.1:7000"
	client := NewClient(NewDialFunc(map[string]string{advertised: server.Listener.Addr().String()}))
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + advertised)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	t.Run("other addresses are dialled as they are", func(t *testing.T) {
		connection, err := NewDialFunc(nil)(t.Context(), "tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		assertRemote(t, connection, server.Listener.Addr())
	})
}

func assertRemote(t *testing.T, connection net.Conn, want net.Addr) {
	t.Helper()
	if got := connection.RemoteAddr().String(); got != want.String() {
		t.Errorf("connected to %s, want %s", got, want)
	}
	if err := connection.Close(); err != nil {
		t.Error(err)
	}
}
