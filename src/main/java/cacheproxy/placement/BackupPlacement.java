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
    static final int LOOK = 64;

    private final Placement ordinary;
    private final Placement backups;
    private final int[] ordinaryAt;
    private final int[] backupAt;
    private int[] spare = new int[16];

    private BackupPlacement(List<Member> members, IntPredicate backup, Factory factory) {
        List<Member> first = new ArrayList<>();
        List<Member> second = new ArrayList<>();
        ordinaryAt = new int[members.size()];
        backupAt = new int[members.size()];
        for (int i = 0; i < members.size(); i++) {
            if (backup.test(members.get(i).id())) {
                backupAt[second.size()] = i;
                second.add(members.get(i));
            } else {
                ordinaryAt[first.size()] = i;
                first.add(members.get(i));
            }
        }
        ordinary = factory.of(first);
        backups = factory.of(second);
    }

    /** Adds backups to placements of this kind; {@code backup} tells them by the members' ids. */
    public static Factory over(Factory factory, IntPredicate backup) {
        return members -> members.stream().noneMatch(m -> backup.test(m.id()))
                ? factory.of(members)
                : new BackupPlacement(members, backup, factory);
    }

    @Override
    public int spreadable() {
        return ordinary.spreadable();
    }

    @Override
    public int most(int want) {
        return Math.max(want, LOOK) + want;
    }

    @Override
    public int top(long key, int keyHash, int want, int[] top) {
        int n = ordinary.top(key, keyHash, Math.max(want, LOOK), top);
        for (int i = 0; i < n; i++) {
            top[i] = ordinaryAt[top[i]];
        }
        if (spare.length < want) {
            spare = new int[want];
        }
        int more = backups.top(key, keyHash, want, spare);
        for (int i = 0; i < more; i++) {
            top[n + i] = backupAt[spare[i]];
        }
        return n + more;
    }
}
