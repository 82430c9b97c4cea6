package org.wingstall.table;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.wingstall.core.member.MemberSnapshot;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.http.ConnectionUse;
import org.wingstall.net.http.HttpClient;
import org.wingstall.net.http.HttpReply;
import org.wingstall.net.http.OutgoingRequest;
import org.wingstall.net.http.TransportException;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.platform.MemberList;
import org.wingstall.schema.platform.Rows;
import org.wingstall.schema.platform.TableRow;
import org.wingstall.schema.platform.Transaction;
import org.wingstall.schema.platform.TransactionResult;

/**
 * The platform's services over HTTP and JSON.
 *
 * <p>{@code HttpPlatform platform = new HttpPlatform(client, loop, address, 500, System::nanoTime, () -> {});}
 *
 * @since 0.1
 */
public final class HttpPlatform implements TableService, ObjectStore, MembershipList {
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int FAILURES_TO_SUSPECT = 3;
    private static final long NEVER = Long.MIN_VALUE;

    private final HttpClient client;
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final long timeoutMs;
    private final MonotonicClock clock;
    private final Runnable suspicionChanged;
    private final AtomicLong heardAtMs = new AtomicLong(NEVER);
    private final AtomicLong bytes = new AtomicLong();
    private final AtomicInteger failuresInRow = new AtomicInteger();

    /**
     * Creates the client.
     *
     * @param client HTTP client
     * @param loop event loop that its calls run on
     * @param address where the platform listens
     * @param timeoutMs longest wait for an answer, in ms
     * @param clock clock by which the platform was last heard
     * @param suspicionChanged told when {@link #suspect()} changes
     */
    public HttpPlatform(
            HttpClient client,
            EventLoop loop,
            InetSocketAddress address,
            long timeoutMs,
            MonotonicClock clock,
            Runnable suspicionChanged) {
        this.client = client;
        this.loop = loop;
        this.address = address;
        this.timeoutMs = timeoutMs;
        this.clock = clock;
        this.suspicionChanged = suspicionChanged;
    }

    /** Returns the time since the platform last answered, in ms; -1 for never. */
    public long heardAgeMs() {
        long heard = heardAtMs.get();
        return heard == NEVER ? -1 : clock.nowMs() - heard;
    }

    /** Returns whether the last few calls all failed, so that waiting for another one is likely in vain. */
    public boolean suspect() {
        return failuresInRow.get() >= FAILURES_TO_SUSPECT;
    }

    /** Returns bytes of bodies sent and received. */
    public long bodyBytes() {
        return bytes.get();
    }

    @Override
    public CompletableFuture<TableRow> read(String key) {
        return call(outgoingGet("/v1/table/row?key=" + encode(key)), TableRow.class);
    }

    @Override
    public CompletableFuture<List<TableRow>> scan(String prefix, String afterKey) {
        String path = "/v1/table/scan?prefix=" + encode(prefix) + "&after=" + encode(afterKey);
        return call(outgoingGet(path), Rows.class).thenApply(Rows::getRows);
    }

    @Override
    public CompletableFuture<TransactionResult> transact(Transaction transaction) {
        OutgoingRequest request = OutgoingRequest.post(address, "/v1/table/transaction", Json.write(transaction));
        return call(request, TransactionResult.class);
    }

    @Override
    public CompletableFuture<Void> put(String name, byte[] content) {
        OutgoingRequest request = new OutgoingRequest(
                address,
                "PUT",
                "/v1/objects/" + encode(name),
                EmptyHttpHeaders.INSTANCE,
                content,
                ConnectionUse.KEPT,
                null);
        return exchange(request).thenApply(reply -> null);
    }

    @Override
    public CompletableFuture<byte[]> get(String name) {
        return exchange(outgoingGet("/v1/objects/" + encode(name))).thenApply(HttpReply::body);
    }

    @Override
    public CompletableFuture<MemberSnapshot> read(MemberSnapshot known) {
        OutgoingRequest whole = outgoingGet("/v1/members");
        OutgoingRequest request = known.tag().isEmpty() ? whole : whole.with("if-none-match", known.tag());
        return exchange(request).thenApply(reply -> reply.notModified() ? known : listOf(reply));
    }

    private static MemberSnapshot listOf(HttpReply reply) {
        String tag = reply.etag() == null ? "" : reply.etag();
        return new MemberSnapshot(tag, parse(reply, MemberList.class).getMembers());
    }

    private OutgoingRequest outgoingGet(String path) {
        return OutgoingRequest.get(address, path);
    }

    private <T> CompletableFuture<T> call(OutgoingRequest request, Class<T> type) {
        return exchange(request).thenApply(reply -> parse(reply, type));
    }

    private static <T> T parse(HttpReply reply, Class<T> type) {
        try {
            return Json.read(reply.body(), type);
        } catch (InvalidDocumentException e) {
            throw new CompletionException(new PlatformException(PlatformException.Kind.UNANSWERED, e.getMessage()));
        }
    }

    private CompletableFuture<HttpReply> exchange(OutgoingRequest request) {
        return client.call(loop, request, timeoutMs).handle((reply, failure) -> {
            count(failure != null || reply.status() >= FIRST_SERVER_ERROR);
            if (failure != null) {
                throw new CompletionException(translate(failure));
            }
            bytes.addAndGet(request.body().length + reply.body().length);
            if (!reply.ok() && !reply.notModified()) {
                throw new CompletionException(refused(reply));
            }
            heardAtMs.set(clock.nowMs());
            return reply;
        });
    }

    private void count(boolean failed) {
        int before = failed ? failuresInRow.getAndIncrement() : failuresInRow.getAndSet(0);
        boolean suspectBefore = before >= FAILURES_TO_SUSPECT;
        boolean suspectNow = failed && before + 1 >= FAILURES_TO_SUSPECT;
        if (suspectBefore != suspectNow) {
            suspicionChanged.run();
        }
    }

    /** Only a status in the 400s says for sure that nothing took effect. */
    private static PlatformException refused(HttpReply reply) {
        boolean definite = reply.status() / 100 == 4;
        PlatformException.Kind kind = definite ? PlatformException.Kind.REFUSED : PlatformException.Kind.UNANSWERED;
        return new PlatformException(kind, "the platform answered with status " + reply.status());
    }

    private static PlatformException translate(Throwable failure) {
        boolean notSent = failure instanceof TransportException transport && !transport.requestWritten();
        PlatformException.Kind kind = notSent ? PlatformException.Kind.NOT_SENT : PlatformException.Kind.UNANSWERED;
        return new PlatformException(kind, failure.getMessage());
    }

    /**
     * Returns the platform's failure behind a future's.
     *
     * @param failure what a future ended with
     * @return the failure
     */
    public static PlatformException unwrap(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof PlatformException platform
                ? platform
                : new PlatformException(PlatformException.Kind.UNANSWERED, String.valueOf(cause));
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
