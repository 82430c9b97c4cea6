package org.wingstall.gateway.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;
import org.wingstall.core.answer.Reason;
import org.wingstall.core.answer.RetryAfter;
import org.wingstall.gateway.Metrics;
import org.wingstall.net.EventLoops;
import org.wingstall.schema.platform.TableRow;
import org.wingstall.schema.platform.Transaction;
import org.wingstall.schema.platform.TransactionResult;
import org.wingstall.table.TableService;

public class ClaimKeeperTest {
    private static final long BUDGET_MS = 60_000;

    private final EventLoop loop = EventLoops.group("test", 1).next();

    /** A table that never answers. */
    private static final class SilentTable implements TableService {
        @Override
        public CompletableFuture<TableRow> read(String key) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<List<TableRow>> scan(String prefix, String afterKey) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<TransactionResult> transact(Transaction transaction) {
            return new CompletableFuture<>();
        }
    }

    @AfterClass(alwaysRun = true)
    public void stopLoop() {
        loop.shutdownGracefully();
    }

    @Test
    public void aBoxThatCommitsAloneRefusesAtOnceWhileTheTableGivesItNoAnswers() {
        ClaimKeeper.Parts parts = new ClaimKeeper.Parts(
                "box", new SilentTable(), () -> true, null, loop, new RetryAfter(() -> 0), new Metrics());
        ClaimKeeper keeper = ClaimKeepers.create(parts, System::nanoTime, null, "box", 0, 400);
        CompletableFuture<ClaimOutcome> outcome = keeper.acquire(keeper.newClaim("w", "k", "f", 0, 1000), BUDGET_MS);
        assertTrue(outcome.isDone(), "the caller is left waiting");
        ClaimOutcome.Refused refused = (ClaimOutcome.Refused) outcome.join();
        assertEquals(refused.reason(), Reason.TABLE_UNAVAILABLE);
        assertTrue(refused.retryAfterMs() > 0);
    }
}
