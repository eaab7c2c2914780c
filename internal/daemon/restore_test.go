package daemon

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/platform/storetest"
)

// config is a document with one route, as the operator writes it.
func config(version int) string {
	return fmt.Sprintf(`{"version":%d,"services":[{"name":"signs"}],"routes":[
		{"name":"get","virtual_host":"h.example","path_prefix":"/get/","kind":"CALL_KIND_IDEMPOTENT","service":"signs"}]}`, version)
}

// awaitDocument returns once all daemons have a version in force.
func (f *storeFleet) awaitDocument(version int) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("version %d is in force", version), func() bool {
		for _, d := range f.daemons {
			if snap := d.board.Snapshot.Load(); snap == nil || snap.Document().VersionOrZero() != uint64(version) {
				return false
			}
		}
		return true
	})
}

// watchVersions fails the test where a daemon goes back to an older version. The returned
// function ends the watch.
func (f *storeFleet) watchVersions() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, d := range f.daemons {
		wg.Go(func() {
			for highest := uint64(0); ; {
				snap, changed := d.board.Snapshot.Watch()
				if snap != nil {
					v := snap.Document().VersionOrZero()
					if v < highest {
						f.t.Errorf("%s went back from version %d to %d", d.settings.Host, highest, v)
					}
					highest = max(highest, v)
				}
				select {
				case <-changed:
				case <-ctx.Done():
					return
				}
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// Guards against versions that never come into force after the store came back from an older copy.
func TestStore_RestoredFromAnOlderCopy(t *testing.T) {
	for name, written := range map[string][]int{
		"shorter than the readers' offset": {13},
		"operator writes again":            {9, 13},
		"grown to the readers' offset":     {12, 13},
		"grown beyond the readers' offset": {10, 11, 12, 13},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStoreFleet(t, 3)
			f.store.PutConfig(config(3))
			f.awaitDocument(3)
			older := f.store.Backup()
			f.store.PutConfig(config(7))
			f.store.PutConfig(config(9))
			f.awaitDocument(9)
			defer f.watchVersions()()
			f.store.SetFault(storetest.ConnectionReset)
			f.store.Restore(older)
			for _, version := range written {
				f.store.PutConfig(config(version))
			}
			f.store.SetFault(storetest.None)
			f.awaitDocument(13)
		})
	}
}

// Guards against an older version in force while the store lacks the newest one.
func TestStore_StartsWhileTheStoreLacksTheNewest(t *testing.T) {
	f := newStoreFleet(t, 2)
	f.store.PutConfig(config(3))
	f.awaitDocument(3)
	older := f.store.Backup()
	f.store.PutConfig(config(7))
	f.awaitDocument(7)
	f.store.Restore(older)
	f.start()
	f.awaitDocument(7)
	defer f.watchVersions()()
	f.store.Restore(older)
	f.store.PutConfig(config(11))
	f.awaitDocument(11)
	must.Len(t, 3, f.daemons)
}
