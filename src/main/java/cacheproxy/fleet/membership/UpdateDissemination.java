package cacheproxy.fleet.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the updates that a message gossips: those that were sent least often come first, and each is sent a number of
 * times that grows with the logarithm of the group's size (SWIM's infection-style dissemination). The status of this
 * process is included.
 */
final class UpdateDissemination {
    /** Transmissions of an update per binary logarithm of the group's size. */
    private static final double TRANSMISSION_FACTOR = 3;

    private final long ownId;
    private final Member self;
    private final MemberTable members;

    UpdateDissemination(long ownId, Member self, MemberTable members) {
        this.ownId = ownId;
        this.self = self;
        this.members = members;
    }

    /** Returns the updates for a message to a member, and counts them as sent. */
    List<MemberUpdate> updatesFor(long to) {
        List<MemberUpdate> updates = new ArrayList<>();
        int maxTransmissions = maxTransmissions();
        Member receiver = members.get(to);
        if (receiver != null && receiver.status() != MemberStatus.ALIVE) {
            updates.add(updateOf(to, receiver)); // informs the receiver of the status that it has to refute
        }
        if (self.transmissions() < maxTransmissions) {
            self.countTransmission();
            updates.add(updateOf(ownId, self));
        }
        members.entries().stream()
                .filter(entry -> entry.getValue().transmissions() < maxTransmissions && entry.getKey() != to)
                .sorted(Comparator.comparingInt(entry -> entry.getValue().transmissions()))
                .limit(SwimMessage.MAX_UPDATES - updates.size())
                .forEach(entry -> {
                    entry.getValue().countTransmission();
                    updates.add(updateOf(entry.getKey(), entry.getValue()));
                });
        return updates;
    }

    private int maxTransmissions() {
        return (int) Math.ceil(TRANSMISSION_FACTOR * Math.log(members.size() + 2) / Math.log(2));
    }

    private static MemberUpdate updateOf(long id, Member member) {
        return new MemberUpdate(id, member.status(), member.incarnation());
    }
}
