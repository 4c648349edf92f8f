package cacheproxy.fleet.membership;

/**
 * What a member is said to be; gossiped with messages.
 *
 * @param memberId the member
 * @param status its state
 * @param incarnation of the member, not negative; raised by the member alone, and a higher one overrides all lower ones
 */
public record MemberUpdate(long memberId, MemberStatus status, int incarnation) {}
