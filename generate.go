// Package crocuscross holds the project's code generation directive.
package crocuscross

//go:generate sh -c "PATH=$(go env GOPATH)/bin:$PATH protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=module=github.com/crocuscross/crocuscross configpb/config.proto memberpb/member.proto peerpb/peer.proto once/oncepb/once.proto quota/quotapb/quota.proto quarantine/quarantinepb/quarantine.proto rollout/rolloutpb/rollout.proto"
