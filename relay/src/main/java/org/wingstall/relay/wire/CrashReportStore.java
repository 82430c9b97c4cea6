package org.wingstall.relay.wire;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.wingstall.schema.peer.CrashReport;

/**
 * Stores reports of requests that crash endpoints, so that they outlive the boxes and reach boxes without a link to
 * each other.
 *
 * <p>{@code store.save(report).thenCompose(done -> store.next(true));}
 *
 * @since 0.7
 */
public interface CrashReportStore {
    /** Saves a report; replaces an earlier one of the same request. Fails with a {@link SourceException}. */
    CompletableFuture<Void> save(CrashReport report);

    /** Deletes the report of a request; fails with a {@link SourceException}. */
    CompletableFuture<Void> delete(String fingerprint);

    /**
     * Reads all reports, or waits for reports that are saved after the last response.
     *
     * @param whole whether to read all reports now
     * @return the reports, with their current ages; empty when none arrived during the wait; fails with a
     *     {@link SourceException}
     */
    CompletableFuture<List<CrashReport>> next(boolean whole);
}
