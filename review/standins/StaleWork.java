import java.io.IOException;

/**
 * The box that gathers pieces freezes for 4 s as traffic starts. A box that gave it pieces is killed meanwhile and starts
 * again. When the frozen box wakes, it works off what it was given before the kill.
 */
final class StaleWork implements Case.Plan {
    private static final int PIECES = 3;
    /** The mean prompt of the kind of request: 13,300 shared tokens and 3,720 more. */
    private static final int TOKENS = 17_020;

    private static final int DEADLINE_MS = 8000;
    private static final int PAUSE_MS = 50;
    private static final int REQUESTS_BEFORE_KILL = 20;
    private static final int REQUESTS_BEFORE_WAKING = 60;
    private static final int REQUESTS_AFTER_WAKING = 60;

    @Override
    public void play(Fleet fleet, Record record, boolean trouble) throws IOException, InterruptedException {
        Clients clients = new Clients(fleet.first, fleet.second, record);
        record.note("traffic starts");
        if (trouble) {
            fleet.second.signal("STOP");
        }
        send(clients, REQUESTS_BEFORE_KILL);
        if (trouble) {
            fleet.first.kill();
            fleet.first.start();
        }
        send(clients, REQUESTS_BEFORE_WAKING);
        if (trouble) {
            fleet.second.signal("CONT");
        }
        send(clients, REQUESTS_AFTER_WAKING);
        Thread.sleep(3000);
    }

    private static void send(Clients clients, int requests) throws InterruptedException {
        for (int i = 0; i < requests; i++) {
            clients.send("menu-plan", "/puxa400/2f", PIECES, TOKENS, DEADLINE_MS);
            Thread.sleep(PAUSE_MS);
        }
    }
}
