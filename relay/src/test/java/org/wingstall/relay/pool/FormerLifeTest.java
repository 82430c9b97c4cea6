package org.wingstall.relay.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.relay.wire.Piece;
import org.wingstall.relay.wire.PieceResult;
import org.wingstall.schema.peer.StagePiece;
import org.wingstall.schema.peer.StageResult;
import org.wingstall.schema.peer.StageWork;

/** Results made for requests of a box's former life were taken for those of requests of its present one. */
public class FormerLifeTest {
    private static final String BOX = "east-1";
    private static final String COORDINATOR = "east-2";
    private static final String SERVICE = "first";

    /** Boxes of earlier builds number their work from here in each life. */
    private static final long FIRST_NUMBER = 1;

    private static final InetSocketAddress MAKER = new InetSocketAddress("10.1.0.9", 80);

    private final List<PieceTask> submitted = new ArrayList<>();
    private final List<PieceOutcome> freed = new ArrayList<>();
    private final List<StageResult> sent = new ArrayList<>();
    private final List<Long> numbers = new ArrayList<>();
    private PeerPieces peerPieces;

    @BeforeMethod
    public void start() {
        List.of(submitted, freed, sent, numbers).forEach(List::clear);
        peerPieces = new PeerPieces(Runnable::run, this::send, System::nanoTime, new PeerPieces.Pools() {
            @Override
            public void submit(String service, List<PieceTask> tasks) {
                submitted.addAll(tasks);
            }

            @Override
            public long waitMs(String service, int rank) {
                return 0;
            }

            @Override
            public void free(PieceOutcome outcome) {
                freed.add(outcome);
            }
        });
    }

    private boolean send(String boxId, long correlation, List<StageResult> results) {
        return sent.addAll(results);
    }

    private static StageWork work(String requestId) {
        StagePiece piece =
                new StagePiece(requestId, 0, 0, "7c1e", List.of(), 0, 900L, 900L, 8000L, "", 0L, "7c1e", 900L, 0L);
        return new StageWork(SERVICE, List.of(piece));
    }

    private static PieceOutcome outcome(String handle) {
        return PieceOutcome.success(PieceResult.of(handle), MAKER, null);
    }

    @DataProvider
    Object[][] whetherTheEndOfTheLifeWasSeen() {
        return new Object[][] {{true}, {false}};
    }

    @Test(dataProvider = "whetherTheEndOfTheLifeWasSeen")
    public void aResultForAFormerLifeIsFreedAndNotSent(boolean endSeen) {
        peerPieces.workReceived(BOX, FIRST_NUMBER, work("former"));
        if (endSeen) {
            peerPieces.unlinked(BOX);
        }
        peerPieces.workReceived(BOX, FIRST_NUMBER, work("own"));
        submitted.get(0).complete(outcome("former-handle"));
        assertEquals(sent, List.of());
        assertEquals(freed.size(), 1);
        assertEquals(submitted.get(0).withdrawn(), true);
        submitted.get(1).complete(outcome("own-handle"));
        assertEquals(sent.size(), 1);
        assertEquals(sent.get(0).getHandle(), "own-handle");
        assertEquals(sent.get(0).getRequestId(), "own");
    }

    /** Delegates a piece of a request in a new life of the box. */
    private DelegatedPieces delegate(String requestId, List<PieceOutcome> outcomes) {
        DelegatedPieces.WorkLinks links = new DelegatedPieces.WorkLinks() {
            @Override
            public boolean askFor(String boxId, long correlation, StageWork work) {
                return numbers.add(correlation);
            }

            @Override
            public void withdraw(String boxId, long correlation) {}
        };
        DelegatedPieces life = new DelegatedPieces(
                links, System::nanoTime, (service, tasks) -> {}, new PoolWaitTable(System::nanoTime));
        PieceTask task = new PieceTask(
                new Piece(requestId, 0, 0, "7c1e", List.of(), "7c1e"),
                new Urgency(0, 900, 900, 900, 0),
                new PieceTask.Placement("", 8000, 0),
                (completed, outcome) -> outcomes.add(outcome));
        life.delegate(COORDINATOR, SERVICE, List.of(task));
        return life;
    }

    @Test
    public void twoLivesOfABoxUseDifferentNumbers() {
        delegate("former", new ArrayList<>());
        delegate("own", new ArrayList<>());
        assertNotEquals(numbers.get(0), numbers.get(1));
    }

    /** The request that a result names, and whether it is taken; boxes of earlier builds name none. */
    @DataProvider
    Object[][] namedRequests() {
        return new Object[][] {{"own", 1}, {"former", 0}, {null, 1}};
    }

    @Test(dataProvider = "namedRequests")
    public void aResultThatNamesAnotherRequestIsNotTaken(String requestId, int taken) {
        List<PieceOutcome> outcomes = new ArrayList<>();
        DelegatedPieces life = delegate("own", outcomes);
        StageResult result = new StageResult(0, "handle", "10.1.0.9:80", null, 0, 0, false, requestId);
        life.resultReceived(COORDINATOR, numbers.get(0), result);
        assertEquals(outcomes.size(), taken);
    }
}
