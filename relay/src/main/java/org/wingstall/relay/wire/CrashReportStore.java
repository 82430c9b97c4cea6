package org.wingstall.relay.wire;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.wingstall.schema.peer.CrashReport;

/**
 * Where reports of requests that crash endpoints outlive the boxes, and reach boxes that have no link to each other.
 *
 * <p>{@code store.keep(report).thenCompose(done -> store.next(true));}
 *
 * @since 0.7
 */
public interface CrashReportStore {
    /** Keeps a report in place of an earlier one of the same request; fails with a {@link SourceException}. */
    CompletableFuture<Void> save(CrashReport report);

    /** Drops the report of a request; fails with a {@link SourceException}. */
    CompletableFuture<Void> delete(String fingerprint);

    /**
     * Reads all reports, or waits for some that are kept after the last answer.
     *
     * @param whole whether to read all now
     * @return the reports, with the ages that they have now; empty when none came while waiting; fails with a {@link SourceException}
     */
    CompletableFuture<List<CrashReport>> next(boolean whole);
}
