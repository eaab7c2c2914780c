package operator

import (
	"encoding/json"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/crocuscross/crocuscross/errkind"
)

const (
	contentType     = "Content-Type"
	contentTypeJSON = "application/json"
)

func writeJSON(w http.ResponseWriter, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode answer")
	}
	return write(w, b)
}

func writeMessage(w http.ResponseWriter, m proto.Message) error {
	b, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode answer")
	}
	return write(w, b)
}

// write returns no error: once the status is sent, a client that went away can
// be told nothing more.
func write(w http.ResponseWriter, b []byte) error {
	w.Header().Set(contentType, contentTypeJSON)
	_, _ = w.Write(append(b, '\n'))
	return nil
}
