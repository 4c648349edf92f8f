package cacheproxy.discovery;

import java.nio.ByteBuffer;

/**
 * Announces new versions of the endpoint list to the other proxies. A message carries only the version: a proxy that
 * receives a version newer than its own polls discovery, so a lost, late, duplicated or forged message costs a few
 * polls at most ({@link SilentWatchDetector}).
 *
 * <p>Each proxy waits for a different delay before it announces a version, and sends nothing if two others have
 * announced the same version by then. So a change takes few messages in a fleet of any size, and one of two messages
 * can be lost.
 */
public final class VersionGossip {
    /** Size of a message in bytes: its type and the version. */
    static final int MESSAGE_BYTES = 9;

    private static final byte MESSAGE_TYPE = 'V';

    private boolean announcementPending;
    /** The newest version that other proxies have announced. */
    private long newestAnnounced = Long.MIN_VALUE;
    /** The peer that announced {@link #newestAnnounced} first. */
    private int firstSender;
    /** Whether a second peer has announced {@link #newestAnnounced}. */
    private boolean announcedByTwoPeers;

    /**
     * Records that discovery has delivered a new version. {@link #takeMessage} must be called after this proxy's delay.
     */
    public void versionChanged() {
        announcementPending = true;
    }

    /** Forgets all versions, because discovery has restarted its numbering. */
    public void reset() {
        announcementPending = false;
        newestAnnounced = Long.MIN_VALUE;
    }

    /** Records that another proxy, identified by its number, has announced a version. */
    public void received(int peer, long version) {
        if (version > newestAnnounced) {
            newestAnnounced = version;
            firstSender = peer;
            announcedByTwoPeers = false;
        } else if (version == newestAnnounced && peer != firstSender) {
            announcedByTwoPeers = true;
        }
    }

    /** Returns the message that announces this proxy's version to all proxies; null if there is nothing to announce. */
    public byte[] takeMessage(long version) {
        boolean send = announcementPending && !(announcedByTwoPeers && newestAnnounced == version);
        announcementPending = false;
        return send
                ? ByteBuffer.allocate(MESSAGE_BYTES)
                        .put(MESSAGE_TYPE)
                        .putLong(version)
                        .array()
                : null;
    }

    /** Returns whether a message from another proxy is a version announcement. */
    public static boolean isVersionMessage(byte[] message) {
        return message.length == MESSAGE_BYTES && message[0] == MESSAGE_TYPE;
    }

    /** Returns the version in a message that {@link #isVersionMessage} accepts. */
    public static long decodeVersion(byte[] message) {
        return ByteBuffer.wrap(message).getLong(1);
    }
}
