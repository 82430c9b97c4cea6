package org.wingstall.standin.endpoint;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.wingstall.net.http.HttpCall;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.endpoint.EngineOrder;
import org.wingstall.schema.endpoint.EngineState;
import org.wingstall.schema.endpoint.EngineTarget;

/** What an engine has loaded and the orders it got; it takes no calls while it loads. */
final class EngineOrderBook {
    private static final int REFUSED_OLDER_TOKEN = 409;

    private final EventLoop loop;
    private final boolean checksToken;
    private final long loadMs;
    private final List<Entry> entries = new CopyOnWriteArrayList<>();
    private volatile EngineState state = new EngineState(null, false, 0);

    /** An order as it came, for tests to look at. */
    record Entry(long token, EngineTarget target, boolean accepted, long atMs) {}

    EngineOrderBook(EventLoop loop, boolean checksToken, long loadMs) {
        this.loop = loop;
        this.checksToken = checksToken;
        this.loadMs = loadMs;
    }

    boolean loading() {
        return state.isLoading();
    }

    List<Entry> entries() {
        return entries;
    }

    void show(HttpCall call) {
        call.respondJson(200, state);
    }

    void take(HttpCall call) throws InvalidDocumentException {
        EngineOrder order = Json.read(call.body(), EngineOrder.class);
        boolean accepted = !checksToken || order.getToken() >= state.getToken();
        entries.add(new Entry(order.getToken(), order.getTarget(), accepted, System.currentTimeMillis()));
        if (!accepted) {
            call.respondJson(REFUSED_OLDER_TOKEN, state);
            return;
        }
        long token = checksToken ? order.getToken() : 0;
        boolean same = order.getTarget().equals(state.getLoaded());
        state = new EngineState(state.getLoaded(), !same, token);
        call.respondJson(200, state);
        if (!same) {
            loop.schedule(() -> loaded(order.getTarget()), loadMs, TimeUnit.MILLISECONDS);
        }
    }

    private void loaded(EngineTarget target) {
        state = new EngineState(target, false, state.getToken());
    }
}
