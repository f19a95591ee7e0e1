package job_test

import (
	"testing"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/batch/chunk"
	"github.com/kingcupquay/kingcupquay/internal/batch/job"
)

// FuzzRecord opens a shard with arbitrary bytes as the stored record and
// progress of a job. No input may cause a panic.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"id":"b","state":"in_progress","chunks":2,"starts":[0,5],"total":9,"due":"2100-01-01T00:00:00Z"}`), chunk.Pack([]byte{255, 1}))
	f.Add([]byte(`{"id":"b","state":"cancelling","chunks":1,"starts":[-1],"total":9}`), []byte{})
	f.Add([]byte(`{"id":"b","state":"in_progress","chunks":3,"total":1}`), []byte("not packed"))
	f.Add([]byte(`{"id":"b","state":"in_progress","chunks":-3,"total":-1}`), chunk.Pack(make([]byte, 1<<16)))
	f.Add([]byte(`[`), []byte(nil))
	f.Fuzz(func(t *testing.T, value, progress []byte) {
		record, err := job.DecodeRecord(value)
		if err != nil {
			return
		}
		done, err := job.DecodeProgress(progress, record.Total)
		if err != nil {
			return
		}
		s := job.OpenShard(1, 0, []job.LoadedJob{{Record: record, Done: done}})
		now := time.Unix(1_000_000, 0)
		for _, a := range s.Tick(now) {
			if a.Kind == job.ReadChunk {
				s.ChunkRead(now, a.Job, a.Chunk, value, nil)
			}
		}
	})
}
