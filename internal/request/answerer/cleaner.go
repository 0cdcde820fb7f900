package answerer

import (
	"net/http"
	"strings"
)

// ownPrefix starts the names of the system's own header fields.
const ownPrefix = "Kumquat-"

// hopFields are the header fields that are meant for one connection only.
var hopFields = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of a header without the fields that are meant for
// one connection and without the system's own fields.
func EndToEnd(header http.Header) http.Header {
	clean := header.Clone()
	if clean == nil {
		clean = make(http.Header)
	}
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			clean.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopFields {
		clean.Del(name)
	}
	for name := range clean {
		if strings.HasPrefix(name, ownPrefix) {
			delete(clean, name)
		}
	}
	return clean
}

// HeaderSize returns the number of bytes that a header takes on the wire.
func HeaderSize(header http.Header) int {
	const separators = len(": \r\n")
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}
