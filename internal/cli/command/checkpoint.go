package command

import (
	"context"

	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/configlog"
	"github.com/crocuscross/crocuscross/platform"
)

// latestCheckpoint starts the fold at the log's first record.
func latestCheckpoint(platform.Log) configlog.Checkpoint {
	return func(context.Context) (*fold.State, error) { return fold.Empty(), nil }
}
