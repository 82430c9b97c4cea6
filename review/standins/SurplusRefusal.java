import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/**
 * One model worker turns part of its requests away unrun. Some of its answers come a second time, late: in the place
 * where the next one on the connection is due.
 */
final class SurplusRefusal implements Case.Plan {
    private static final int PIECES = 1;

    /** A long prompt; the sheet's longest have 39,600 tokens besides the shared ones. */
    private static final int TOKENS = 40_000;

    private static final int DEADLINE_MS = 8000;
    private static final int PAUSE_MS = 100;
    private static final int REQUESTS = 400;

    /** One request in so many is turned away: 0.4. */
    private static final double SHED = 0.4;

    /** One answer in so many comes twice: 0.03. */
    private static final int ONE_IN = 34;

    @Override
    public void play(Fleet fleet, Record record, boolean trouble) throws IOException, InterruptedException {
        Window window = new Window();
        if (trouble) {
            Worker.OfModel faulty = fleet.models.get(0);
            AtomicInteger asked = new AtomicInteger();
            BooleanSupplier sheds = () -> window.open() && asked.incrementAndGet() * SHED % 1 < SHED;
            faulty.shed(sheds);
            faulty.spoil(new SurplusAnswer.Doubler(faulty, record, ONE_IN, window));
        }
        Clients clients = new Clients(fleet.first, fleet.second, record);
        record.note("traffic starts");
        for (int i = 0; i < REQUESTS; i++) {
            clients.send("allergen-sum", "/cufi501/2f", PIECES, TOKENS, DEADLINE_MS);
            Thread.sleep(PAUSE_MS);
        }
        Thread.sleep(5000);
    }
}
