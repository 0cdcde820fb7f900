package answerer

import (
	"net/http"
	"strings"
)

// ownPrefix is the prefix of the names of this system's header fields.
const ownPrefix = "Kumquat-"

// hopByHopFields are the header fields that apply to a single connection only.
var hopByHopFields = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of a header without the hop-by-hop fields and without
// this system's own fields.
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
	for _, name := range hopByHopFields {
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
