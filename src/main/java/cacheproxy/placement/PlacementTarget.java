package cacheproxy.placement;

/**
 * A server as nginx's placements know it, whether it is up or not: those that are down keep their part of the keys'
 * space, so that only their own keys move.
 *
 * @param id as members'
 * @param weight whole, 1 or more
 * @param ring its text on the ring: the address as nginx's configuration writes it
 */
public record PlacementTarget(int id, int weight, String address) {}
