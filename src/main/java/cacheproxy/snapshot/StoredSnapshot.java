package cacheproxy.snapshot;

import cacheproxy.snapshot.state.StateSnapshot;
import java.util.List;

/**
 * The result of reading a {@link SnapshotStore}.
 *
 * @param content the snapshot; null if no generation can be used
 * @param fromPreviousGeneration whether it is the generation before the newest
 * @param notes descriptions of what was wrong with files that were ignored or read in part, each with the file's path
 */
public record StoredSnapshot(StateSnapshot content, boolean fromPreviousGeneration, List<String> notes) {}
