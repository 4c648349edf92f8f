package cacheproxy.snapshot;

import cacheproxy.snapshot.state.StateSnapshot;
import java.util.List;

/**
 * The result of decoding a snapshot file.
 *
 * @param content the snapshot, without damaged and skipped sections; null if nothing of it can be used
 * @param faults descriptions of the damage, each with its position in the file; empty if the file is complete
 * @param skipped descriptions of sections that a newer program has written
 */
public record DecodedSnapshot(StateSnapshot content, List<String> faults, List<String> skipped) {
    /** Returns whether the file is usable and undamaged. */
    public boolean isComplete() {
        return content != null && faults.isEmpty();
    }
}
