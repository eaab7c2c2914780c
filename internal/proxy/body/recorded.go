package body

import (
	"github.com/crocuscross/crocuscross/once"
	"github.com/crocuscross/crocuscross/peerpb"
)

// Record converts a response with its whole body b to its recorded form.
func Record(head *peerpb.AnswerHead, b []byte) *once.Response {
	r := &once.Response{Status: int(head.GetStatus()), Body: b}
	for _, f := range head.GetFields() {
		r.Fields = append(r.Fields, once.HeaderField{Name: f.GetName(), Value: string(f.GetValue())})
	}
	return r
}

// RecordedHead returns the head of a recorded response as a message.
func RecordedHead(r *once.Response) *peerpb.AnswerHead {
	head := &peerpb.AnswerHead{Status: uint32(r.Status), ContentLength: int64(len(r.Body))}
	for _, f := range r.Fields {
		head.Fields = append(head.Fields, &peerpb.Field{Name: f.Name, Value: []byte(f.Value)})
	}
	return head
}
