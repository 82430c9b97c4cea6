package org.wingstall.standin.platform;

import io.netty.channel.EventLoopGroup;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.wingstall.net.BindException;
import org.wingstall.net.EventLoops;
import org.wingstall.net.http.HttpCall;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.platform.Member;
import org.wingstall.schema.platform.MemberList;
import org.wingstall.schema.platform.Rows;
import org.wingstall.schema.platform.Transaction;
import org.wingstall.schema.platform.TransactionResult;
import org.wingstall.standin.StandinServer;

/**
 * The platform as the system meets it, in memory, with faults that are set over HTTP.
 *
 * <p>{@code PlatformStandin.start("127.0.0.1:9000");}
 *
 * @since 0.1
 */
public final class PlatformStandin {
    private static final int NOT_MODIFIED = 304;
    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;

    private final TableStore table = new TableStore();
    private final MemberStore members = new MemberStore();
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();
    private volatile PlatformFaults faults = PlatformFaults.NONE;

    private PlatformStandin() {}

    /** Starts the stand-in. */
    public static void start(String address) throws BindException {
        EventLoopGroup group = EventLoops.group("platform", 2);
        StandinServer.start(group, address, new PlatformStandin()::handle);
    }

    private void handle(HttpCall call) {
        try {
            if (call.path().startsWith("/admin/")) {
                admin(call);
            } else {
                serve(call);
            }
        } catch (InvalidDocumentException e) {
            call.respond(BAD_REQUEST, "text/plain", e.getMessage().getBytes());
        }
    }

    private void serve(HttpCall call) throws InvalidDocumentException {
        PlatformFaults now = faults;
        boolean write = call.path().equals("/v1/table/transaction");
        (write ? writes : reads).incrementAndGet();
        if (now.down()) {
            call.respond(UNAVAILABLE, "text/plain", new byte[0]);
        } else if (now.silent()) {
            return;
        } else if (write && chance(now.lateRate())) {
            later(call, now.lateMs(), () -> dispatchQuietly(call));
            call.abort();
        } else if (now.delayMs() > 0) {
            later(call, now.delayMs(), () -> dispatchQuietly(call));
        } else {
            dispatch(call);
        }
    }

    private static void later(HttpCall call, long delayMs, Runnable action) {
        call.eventLoop().schedule(action, delayMs, TimeUnit.MILLISECONDS);
    }

    private void dispatchQuietly(HttpCall call) {
        try {
            dispatch(call);
        } catch (InvalidDocumentException e) {
            call.abort();
        }
    }

    private void dispatch(HttpCall call) throws InvalidDocumentException {
        String path = call.path();
        if (path.equals("/v1/table/transaction")) {
            transact(call);
        } else if (path.equals("/v1/table/row")) {
            call.respondJson(200, table.read(call.query("key", ""), faults.stale()));
        } else if (path.equals("/v1/table/scan")) {
            call.respondJson(
                    200, new Rows(table.scan(call.query("prefix", ""), call.query("after", ""), faults.stale())));
        } else if (path.equals("/v1/members")) {
            listMembers(call);
        } else if (path.startsWith("/v1/objects/")) {
            object(call);
        } else {
            call.respond(NOT_FOUND, "text/plain", new byte[0]);
        }
    }

    private void listMembers(HttpCall call) {
        MemberStore.Version shown = members.shown();
        String etag = "\"" + shown.number() + "\"";
        boolean known = etag.equals(call.header("if-none-match"));
        byte[] body = known ? new byte[0] : Json.write(shown.list());
        call.respond(known ? NOT_MODIFIED : 200, HttpCall.JSON, body, Map.of("etag", etag));
    }

    private void transact(HttpCall call) throws InvalidDocumentException {
        TransactionResult result = table.transact(Json.read(call.body(), Transaction.class));
        if (result.isCommitted() && chance(faults.loseAnswerRate())) {
            call.abort();
            return;
        }
        call.respondJson(200, result);
    }

    private void object(HttpCall call) {
        if (call.method().equals("PUT")) {
            objects.put(call.path(), call.body());
            call.respond(200, HttpCall.JSON, new byte[0]);
            return;
        }
        byte[] content = objects.get(call.path());
        call.respond(content == null ? NOT_FOUND : 200, HttpCall.JSON, content == null ? new byte[0] : content);
    }

    private void admin(HttpCall call) throws InvalidDocumentException {
        switch (call.path()) {
            case "/admin/faults" -> faults = PlatformFaults.read(Json.readTree(call.body()));
            case "/admin/snapshot" -> table.takeSnapshot();
            case "/admin/member" -> members.put(Json.read(call.body(), Member.class));
            case "/admin/members" ->
                members.putAll(Json.read(call.body(), MemberList.class).getMembers());
            case "/admin/member/remove" -> members.remove(call.query("id", ""));
            case "/admin/members/lag" -> members.lagMs(Long.parseLong(call.query("ms", "0")));
            default -> {}
        }
        call.respondJson(200, Map.of("reads", reads.get(), "writes", writes.get(), "rows", table.size()));
    }

    private static boolean chance(double rate) {
        return rate > 0 && ThreadLocalRandom.current().nextDouble() < rate;
    }
}
