package cacheproxy.placement;

import cacheproxy.policy.PolicyApi.Member;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;

/**
 * Backup servers behind all others: they follow when none of a key's first {@value #LOOK} ordinary servers may be sent
 * to. A hot key is not spread over them.
 */
public final class BackupPlacement implements Placement {
    /** So many ordinary servers are ranked before a backup is; bounds the cost for a key. */
    static final int ORDINARY_CANDIDATES = 64;

    private final Placement ordinary;
    private final Placement backups;
    private final int[] ordinaryIndexes;
    private final int[] backupIndexes;
    private int[] rankedBackups = new int[16];

    private BackupPlacement(List<Member> members, IntPredicate backup, Factory factory) {
        List<Member> first = new ArrayList<>();
        List<Member> second = new ArrayList<>();
        ordinaryIndexes = new int[members.size()];
        backupIndexes = new int[members.size()];
        for (int i = 0; i < members.size(); i++) {
            if (backup.test(members.get(i).id())) {
                backupIndexes[second.size()] = i;
                second.add(members.get(i));
            } else {
                ordinaryIndexes[first.size()] = i;
                first.add(members.get(i));
            }
        }
        ordinary = factory.create(first);
        backups = factory.create(second);
    }

    /** Adds backups to placements of this kind; {@code backup} tells them by the members' ids. */
    public static Factory withBackups(Factory factory, IntPredicate backup) {
        return members -> members.stream().noneMatch(m -> backup.test(m.id()))
                ? factory.create(members)
                : new BackupPlacement(members, backup, factory);
    }

    @Override
    public int maxHotKeySpread() {
        return ordinary.maxHotKeySpread();
    }

    @Override
    public int maxRanked(int wanted) {
        return Math.max(wanted, ORDINARY_CANDIDATES) + wanted;
    }

    @Override
    public int rank(long key, int keyHash, int wanted, int[] ranked) {
        int n = ordinary.rank(key, keyHash, Math.max(wanted, ORDINARY_CANDIDATES), ranked);
        for (int i = 0; i < n; i++) {
            ranked[i] = ordinaryIndexes[ranked[i]];
        }
        if (rankedBackups.length < wanted) {
            rankedBackups = new int[wanted];
        }
        int more = backups.rank(key, keyHash, wanted, rankedBackups);
        for (int i = 0; i < more; i++) {
            ranked[n + i] = backupIndexes[rankedBackups[i]];
        }
        return n + more;
    }
}
