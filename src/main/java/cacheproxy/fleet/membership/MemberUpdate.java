package cacheproxy.fleet.membership;

/**
 * A statement about the status of a member, gossiped with messages.
 *
 * @param memberId the id of the member
 * @param status the status of the member
 * @param incarnation the incarnation of the member, not negative; only the member itself raises it, and a higher one
 *     overrides all lower ones
 */
public record MemberUpdate(long memberId, MemberStatus status, int incarnation) {}
