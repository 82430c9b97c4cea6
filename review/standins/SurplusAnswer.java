import java.io.IOException;

/** Some workers of a stage send one of their answers a second time, late: in the place where the next one is due. */
final class SurplusAnswer implements Case.Plan {
    /** The mean prompt of the kind of request: 13,300 shared tokens and 3,720 more. */
    private static final int TOKENS = 17_020;

    private static final int DEADLINE_MS = 8000;
    private static final int PAUSE_MS = 150;
    private static final int REQUESTS = 200;
    private static final int PIECES = 2;

    /** Share of the workers that are faulty: 2 of 4. */
    private static final int FAULTY = 2;

    /** One answer in so many of a faulty worker comes twice: 0.03. */
    private static final int ONE_IN = 34;

    private static final int FIRST = 5;

    @Override
    public void play(Fleet fleet, Record record, boolean trouble) throws IOException, InterruptedException {
        Window window = new Window();
        if (trouble) {
            for (Worker.OfStage ledger : fleet.ledgers.subList(0, FAULTY)) {
                ledger.spoil(new Doubler(ledger, record, ONE_IN, window));
            }
        }
        Clients clients = new Clients(fleet.first, fleet.second, record);
        record.note("traffic starts");
        for (int i = 0; i < REQUESTS; i++) {
            clients.send("menu-plan", "/puxa400/2f", PIECES, TOKENS, DEADLINE_MS);
            Thread.sleep(PAUSE_MS);
        }
        Thread.sleep(3000);
    }

    /**
     * Keeps one answer in so many, and sends it again when the next call comes on its connection. Answers that are told
     * without their bytes count, and do not come again.
     */
    static final class Doubler implements Worker.Spoiler {
        private static final String KEPT = "answer that comes again";

        private final Worker worker;
        private final Record record;
        private final int oneIn;
        private final Window window;
        private int answers;
        private int doubled;

        Doubler(Worker worker, Record record, int oneIn, Window window) {
            this.worker = worker;
            this.oneIn = oneIn;
            this.window = window;
            this.record = record;
        }

        @Override
        public synchronized void answered(Http.Link link, byte[] answer) {
            if (!window.open()) {
                return;
            }
            answers++;
            boolean due = answers > FIRST + doubled * oneIn;
            if (due && answer.length > 0) {
                doubled++;
                link.state.put(KEPT, answer);
            }
        }

        @Override
        public void called(Http.Link link) throws IOException {
            byte[] answer = (byte[]) link.state.remove(KEPT);
            if (answer != null) {
                record.note(worker.id + " sends its last answer on a connection once more");
                link.write(answer);
            }
        }
    }
}
