package cacheproxy.handover;

import io.netty.channel.Channel;

/**
 * A listening socket received from the predecessor.
 *
 * @param descriptor file descriptor of the socket
 * @param predecessor the connection to the predecessor; while it is open, this process counts as its successor
 */
public record InheritedSocket(int descriptor, Channel predecessor) {}
