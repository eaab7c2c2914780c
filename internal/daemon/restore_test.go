package daemon

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/crocuscross/crocuscross/platform/storetest"
)

// documentWithOneRoute returns a document with one route, as the operator writes it.
func documentWithOneRoute(version int) string {
	return fmt.Sprintf(`{"version":%d,"services":[{"name":"signs"}],"routes":[
		{"name":"get","virtual_host":"h.example","path_prefix":"/get/","kind":"CALL_KIND_IDEMPOTENT","service":"signs"}]}`, version)
}

// waitDocument waits until all daemons have a document version in force.
func (f *storeFleet) waitDocument(version int) {
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

// watchVersions fails the test if a daemon returns to an older document version, until stop is
// called.
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
						f.t.Errorf("%s returned from version %d to %d", d.settings.Host, highest, v)
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

// Guards against versions that never come into force after the store was restored from an older
// copy.
func TestStore_RestoredFromAnOlderCopy(t *testing.T) {
	for name, written := range map[string][]int{
		"shorter than the readers' offset": {13},
		"operator writes again":            {9, 13},
		"grown to the readers' offset":     {12, 13},
		"grown beyond the readers' offset": {10, 11, 12, 13},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStoreFleet(t, 3)
			f.store.PutConfig(documentWithOneRoute(3))
			f.waitDocument(3)
			older := f.store.Backup()
			f.store.PutConfig(documentWithOneRoute(7))
			f.store.PutConfig(documentWithOneRoute(9))
			f.waitDocument(9)
			defer f.watchVersions()()
			f.store.SetFault(storetest.ConnectionReset)
			f.store.Restore(older)
			for _, version := range written {
				f.store.PutConfig(documentWithOneRoute(version))
			}
			f.store.SetFault(storetest.None)
			f.waitDocument(13)
		})
	}
}

// Guards against a daemon that starts with an older version in force while the store lacks the
// newest one.
func TestStore_StartsWhileTheStoreLacksTheNewest(t *testing.T) {
	f := newStoreFleet(t, 2)
	f.store.PutConfig(documentWithOneRoute(3))
	f.waitDocument(3)
	older := f.store.Backup()
	f.store.PutConfig(documentWithOneRoute(7))
	f.waitDocument(7)
	f.store.Restore(older)
	f.start()
	f.waitDocument(7)
	defer f.watchVersions()()
	f.store.Restore(older)
	f.store.PutConfig(documentWithOneRoute(11))
	f.waitDocument(11)
	must.Len(t, 3, f.daemons)
}
