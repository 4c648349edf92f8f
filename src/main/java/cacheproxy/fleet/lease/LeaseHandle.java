package cacheproxy.fleet.lease;

import java.util.List;

/** All that whoever acts under a duty sees of it. Times in milliseconds of the process's monotonic clock. */
public interface LeaseHandle {
    /** A duty that nobody holds and for which nobody stands. */
    LeaseHandle NOBODYS = new LeaseHandle() {
        @Override
        public long permit(double now, double actMs) {
            return -1;
        }

        @Override
        public double leftMs(double now) {
            return 0;
        }

        @Override
        public long holder(double now) {
            return NameHash.NOBODY;
        }

        @Override
        public List<Long> order() {
            return List.of();
        }

        @Override
        public long id() {
            return NameHash.NOBODY;
        }
    };

    /** The epoch under which an act of so many milliseconds may begin now; -1: it may not. Ask right before the act. */
    long permit(double now, double actMs);

    /** What is left of the lease; 0 where it is not held here. */
    double leftMs(double now);

    /** Who holds it by the voters' last word; {@link NameHash#NOBODY} if nobody does or it is not known. */
    long holder(double now);

    /** Peers in the order in which they stand for it: who is asked where the holder is not known. */
    List<Long> order();

    /** The duty's id, as messages carry it. */
    long id();
}
