package cacheproxy.snapshot;

import cacheproxy.snapshot.state.StateSnapshot;
import java.util.List;

/**
 * What was read from a snapshot file.
 *
 * @param content the snapshot, without damaged and skipped sections; null if nothing of it can be used
 * @param faults what is damaged, each with its place in the file; empty: the file is complete
 * @param skipped sections that a newer program has written
 */
public record DecodedSnapshot(StateSnapshot content, List<String> faults, List<String> skipped) {
    /** Whether the file is as it was written. */
    public boolean isComplete() {
        return content != null && faults.isEmpty();
    }
}
