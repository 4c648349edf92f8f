package cacheproxy.placement;

import cacheproxy.policy.Endpoint;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;

/**
 * Ranks backup servers after all primary servers. Backups are used when none of a key's first
 * {@value #PRIMARY_CANDIDATES} primary servers can be used. Hot keys are not spread over backups.
 */
public final class BackupPlacement implements Placement {
    /** Number of primary servers that are ranked before the first backup; bounds the cost of a ranking. */
    static final int PRIMARY_CANDIDATES = 64;

    private static final int INITIAL_BACKUPS = 16;

    private final Placement primaries;
    private final Placement backups;

    /** Indexes in the whole list, by index among the primary servers. */
    private final int[] primaryIndexes;

    /** Indexes in the whole list, by index among the backups. */
    private final int[] backupIndexes;

    /** Reused between rankings. */
    private int[] rankedBackups = new int[INITIAL_BACKUPS];

    private BackupPlacement(List<Endpoint> members, IntPredicate isBackup, PlacementFactory factory) {
        List<Endpoint> primaryMembers = new ArrayList<>();
        List<Endpoint> backupMembers = new ArrayList<>();
        primaryIndexes = new int[members.size()];
        backupIndexes = new int[members.size()];
        for (int i = 0; i < members.size(); i++) {
            Endpoint member = members.get(i);
            if (isBackup.test(member.id())) {
                backupIndexes[backupMembers.size()] = i;
                backupMembers.add(member);
            } else {
                primaryIndexes[primaryMembers.size()] = i;
                primaryMembers.add(member);
            }
        }
        primaries = factory.create(primaryMembers);
        backups = factory.create(backupMembers);
    }

    /**
     * Returns a factory that ranks primary servers and backups each by the given factory's placements.
     *
     * @param isBackup returns whether the member with the given id is a backup
     */
    public static PlacementFactory withBackups(PlacementFactory factory, IntPredicate isBackup) {
        return members -> members.stream().noneMatch(member -> isBackup.test(member.id()))
                ? factory.create(members)
                : new BackupPlacement(members, isBackup, factory);
    }

    @Override
    public int maxHotKeySpread() {
        return primaries.maxHotKeySpread();
    }

    @Override
    public int maxRanked(int wanted) {
        return Math.max(wanted, PRIMARY_CANDIDATES) + wanted;
    }

    @Override
    public int rank(long key, int keyHash, int wanted, int[] ranked) {
        int primaryCount = primaries.rank(key, keyHash, Math.max(wanted, PRIMARY_CANDIDATES), ranked);
        for (int i = 0; i < primaryCount; i++) {
            ranked[i] = primaryIndexes[ranked[i]];
        }
        if (rankedBackups.length < wanted) {
            rankedBackups = new int[wanted];
        }
        int backupCount = backups.rank(key, keyHash, wanted, rankedBackups);
        for (int i = 0; i < backupCount; i++) {
            ranked[primaryCount + i] = backupIndexes[rankedBackups[i]];
        }
        return primaryCount + backupCount;
    }
}
