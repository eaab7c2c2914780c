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
		return errkind.Wrap(errkind.Internal, err, "encode response")
	}
	return write(w, b)
}

// writeMessage writes m with the field names of the .proto file and includes unset fields.
func writeMessage(w http.ResponseWriter, m proto.Message) error {
	b, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode response")
	}
	return write(w, b)
}

// write writes a JSON body. It ignores write errors and always returns nil: once the status has
// been sent, no error can be reported to a client that has disconnected.
func write(w http.ResponseWriter, b []byte) error {
	w.Header().Set(contentType, contentTypeJSON)
	_, _ = w.Write(append(b, '\n'))
	return nil
}
