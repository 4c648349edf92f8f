package cacheproxy.proxy.net;

import java.util.EnumMap;
import java.util.Map;

/** What operators are told about the load of an event loop, the clients that cause it, and invalid input. */
public final class LoadStatistics {
    private final PollClock polls;
    private final TurnScheduler turns;
    private final Map<ReadPause, Long> pauses = new EnumMap<>(ReadPause.class);
    private long commands;
    private long invalidCommands;
    private long invalidServerResponses;
    private long endedWithUnread;

    /** Creates statistics without counts. */
    public LoadStatistics(PollClock polls, TurnScheduler turns) {
        this.polls = polls;
        this.turns = turns;
    }

    /** Records that reading from a client connection pauses. */
    public void readPaused(ReadPause reason) {
        pauses.merge(reason, 1L, Long::sum);
    }

    /** Records a command of a client; invalid ones are responded to by an error line. */
    public void commandReceived(boolean valid) {
        commands++;
        if (!valid) {
            invalidCommands++;
        }
    }

    /** Records a response of a server that violates the protocol; its connection is closed. */
    public void invalidServerResponse() {
        invalidServerResponses++;
    }

    /** Records that the proxy has ended a client connection while the operating system held unread bytes of it. */
    public void endedWithUnread() {
        endedWithUnread++;
    }

    /** Describes the counts since the start, a line for each subject. */
    public String summary() {
        StringBuilder text = new StringBuilder("loop_busy " + polls.busyTurns())
                .append("\nturns_cut_short=")
                .append(turns.turnsCutShort())
                .append("\ncommands=" + commands + " invalid=" + invalidCommands)
                .append("\ninvalid_server_responses=" + invalidServerResponses)
                .append("\nended_with_unread=" + endedWithUnread)
                .append("\nread_paused");
        for (ReadPause reason : ReadPause.values()) {
            text.append(' ').append(reason.label()).append('=').append(pauses.getOrDefault(reason, 0L));
        }
        return text.toString();
    }
}
