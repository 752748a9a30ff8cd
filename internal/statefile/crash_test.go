package statefile

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"barleysail/state/statepb"
)

const (
	scriptSaves         = 13  // saves of the script
	scriptSavesPerLog   = 4   // saves after which a generation begins
	leastCrashSteps     = 50  // steps that TestPowerCuts has to reach at least
	leastCrashOutcomes  = 300 // folders that TestPowerCuts has to check at least
	recoveryStateNumber = 9   // number of the test state that is saved after a recovery
)

// runScript saves the test states one after the other, and begins a generation after every few saves. It returns what
// was stored after each save, and the number of the last save that was confirmed: that returned no error.
func runScript(fsys *crashFS, saves int) (stored []*statepb.State, confirmed int) {
	loaded, err := Load(fsys)
	if err != nil {
		return nil, 0
	}
	store := NewStore(fsys, loaded, maxTestSnapshotBytes)
	for n := 1; n <= saves; n++ {
		if n%scriptSavesPerLog == 0 {
			store.outgrowLog()
		}
		err := store.Save(testState(n))
		if errors.Is(err, errPowerCut) {
			return stored, confirmed
		}
		if err != nil {
			continue
		}
		stored = append(stored, proto.CloneOf(store.saved))
		confirmed = n
	}
	return stored, confirmed
}

// scriptStates returns what is stored after each save of the script if nothing fails.
func scriptStates(t *testing.T) []*statepb.State {
	t.Helper()
	stored, confirmed := runScript(newCrashFS(), scriptSaves)
	if confirmed != scriptSaves {
		t.Fatalf("the last confirmed save is %d, want %d", confirmed, scriptSaves)
	}
	return stored
}

// checkRecovery checks the folder that is found after a crash: the state of the last confirmed save or of a later one
// can be loaded, and another state can be saved and loaded.
func checkRecovery(fsys *crashFS, stored []*statepb.State, confirmed int) error {
	loaded, err := Load(fsys)
	if err != nil {
		return err
	}
	if err := checkLoadedState(loaded, stored, confirmed); err != nil {
		return err
	}
	next := testState(recoveryStateNumber)
	if err := NewStore(fsys, loaded, maxTestSnapshotBytes).Save(next); err != nil {
		return fmt.Errorf("saving after recovery: %w", err)
	}
	reloaded, err := Load(fsys)
	if err != nil {
		return fmt.Errorf("loading after recovery: %w", err)
	}
	if reloaded.State == nil || reloaded.State.At != next.At {
		return fmt.Errorf("after recovery the loaded state is %v, want the saved one, %v", reloaded.State, next)
	}
	return nil
}

func checkLoadedState(loaded *LoadResult, stored []*statepb.State, confirmed int) error {
	number := 0 // number of the save that stored the loaded state; 0: none
	for i, s := range stored {
		if loaded.State != nil && proto.Equal(s, loaded.State) {
			number = i + 1
		}
	}
	if loaded.State != nil && number == 0 {
		return fmt.Errorf("the loaded state was never saved: %v", loaded.State)
	}
	if number < confirmed {
		return fmt.Errorf("the loaded state is that of save %d, want %d, the last confirmed one, or a later one; warnings %v",
			number, confirmed, loaded.Warnings)
	}
	return nil
}

// cutPowerEverywhere runs the script with a power cut at each step, and checks each folder that may be found after it.
// It returns the number of steps and the number of folders.
func cutPowerEverywhere(stored []*statepb.State, mutate func(*crashFS)) (steps, outcomes int, err error) {
	for step := 0; ; step++ {
		fsys := newCrashFS()
		mutate(fsys)
		fsys.crashAtStep = step
		_, confirmed := runScript(fsys, scriptSaves)
		if fsys.steps <= step {
			return step, outcomes, nil // the script ended before the cut
		}
		err := fsys.forEachCrashOutcome(func(outcome *crashFS) error {
			outcomes++
			return checkRecovery(outcome, stored, confirmed)
		})
		if err != nil {
			return step, outcomes, fmt.Errorf("power cut at step %d: %w", step, err)
		}
	}
}

// The power is cut at each step of the script. After that each write that was not synced is complete, torn, corrupt or
// lost, and each name that was not synced is the old or the new one, in all combinations. The loaded state must be one
// that was saved, and no confirmed state may be lost. Mutants that skip a sync must fail.
func TestPowerCuts(t *testing.T) {
	stored := scriptStates(t)
	steps, outcomes, err := cutPowerEverywhere(stored, func(*crashFS) {})
	if err != nil {
		t.Fatal(err)
	}
	if steps < leastCrashSteps || outcomes < leastCrashOutcomes {
		t.Errorf("%d steps and %d folders were checked, want at least %d and %d",
			steps, outcomes, leastCrashSteps, leastCrashOutcomes)
	}
	t.Logf("%d steps, %d folders", steps, outcomes)

	mutants := []struct {
		name   string
		mutate func(*crashFS)
	}{
		{"without syncing files", func(fsys *crashFS) { fsys.skipFileSync = true }},
		{"without syncing the folder", func(fsys *crashFS) { fsys.skipFolderSync = true }},
	}
	for _, mutant := range mutants {
		t.Run(mutant.name, func(t *testing.T) {
			if _, _, err := cutPowerEverywhere(stored, mutant.mutate); err == nil {
				t.Error("no state was lost, want the test to detect this mutant")
			}
		})
	}
}

// While the disk is full, saves fail. Saves before and after that succeed, and the last saved state can be loaded.
func TestDiskFull(t *testing.T) {
	for first := 1; first <= scriptSaves; first++ {
		for last := first; last <= scriptSaves; last++ {
			t.Run(fmt.Sprintf("saves %d to %d", first, last), func(t *testing.T) {
				runScriptWithFullDisk(t, first, last)
			})
		}
	}
}

func runScriptWithFullDisk(t *testing.T, first, last int) {
	t.Helper()
	fsys := newCrashFS()
	store := NewStore(fsys, mustLoad(t, fsys), maxTestSnapshotBytes)
	savedAtMs := 0.0
	for n := 1; n <= scriptSaves; n++ {
		if n%scriptSavesPerLog == 0 {
			store.outgrowLog()
		}
		fsys.diskFull = n >= first && n <= last
		err := store.Save(testState(n))
		if fsys.diskFull != (err != nil) {
			t.Fatalf("the error of save %d is %v, want one: %v", n, err, fsys.diskFull)
		}
		if err == nil {
			savedAtMs = testState(n).At
		}
		loaded := mustLoad(t, fsys)
		if atMs := loaded.State.GetAt(); atMs != savedAtMs {
			t.Fatalf("after save %d the loaded state is of %g ms, want %g ms; warnings %v", n, atMs, savedAtMs, loaded.Warnings)
		}
	}
}

// One byte of one file is corrupt, each in turn. The loaded state must be one that was saved, or none.
func TestCorruptBytes(t *testing.T) {
	stored := scriptStates(t)
	fsys := newCrashFS()
	runScript(fsys, scriptSaves)
	for name, file := range fsys.current {
		for i := range file.content() {
			corrupt := newCrashFS()
			for otherName, otherFile := range fsys.current {
				corrupt.put(otherName, slices.Clone(otherFile.content()))
			}
			corrupt.current[name].synced[i] ^= 1 << (i % 8)
			if err := checkRecovery(corrupt, stored, 0); err != nil {
				t.Fatalf("byte %d of %s is corrupt: %v", i, name, err)
			}
		}
	}
}
