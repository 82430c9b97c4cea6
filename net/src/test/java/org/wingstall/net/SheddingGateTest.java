package org.wingstall.net;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A box let connections in faster than their requests came, and read the requests of hundreds in one turn. */
public class SheddingGateTest {
    private final List<EmbeddedChannel> connections = new ArrayList<>();
    private EmbeddedChannel listener;
    private SheddingGate gate;
    private long nowMs;

    private static final class Silent implements SheddingGate.Observer {
        @Override
        public void admitted(long waitedMs) {}

        @Override
        public void closedUnread(SheddingGate.Cause cause) {}

        @Override
        public void overloadChanged(boolean overloaded) {}
    }

    @BeforeMethod
    public void create() {
        connections.clear();
        listener = new EmbeddedChannel();
        nowMs = 10_000;
        gate = new SheddingGate(listener.eventLoop(), new Silent(), () -> TimeUnit.MILLISECONDS.toNanos(nowMs));
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        connections.forEach(EmbeddedChannel::finishAndReleaseAll);
        listener.finishAndReleaseAll();
    }

    private void connect(int count) {
        for (int i = 0; i < count; i++) {
            EmbeddedChannel connection = new EmbeddedChannel();
            connections.add(connection);
            gate.admit(connection);
        }
        runTurns(count);
    }

    private void runTurns(int count) {
        for (int i = 0; i < 2 * count; i++) {
            listener.runPendingTasks();
        }
    }

    private long reading() {
        return connections.stream()
                .filter(connection -> connection.config().isAutoRead())
                .count();
    }

    @DataProvider
    Object[][] counts() {
        return new Object[][] {
            {1, 1}, {SheddingGate.MAX_SILENT, SheddingGate.MAX_SILENT}, {300, SheddingGate.MAX_SILENT},
        };
    }

    @Test(dataProvider = "counts")
    public void fewConnectionsAreLetInBeforeTheirRequestsCome(int count, int letIn) {
        connect(count);
        assertEquals(reading(), letIn);
    }

    @Test(dataProvider = "counts")
    public void allAreLetInAsTheRequestsCome(int count, int letIn) {
        connect(count);
        for (EmbeddedChannel connection : connections) {
            connection.writeInbound(Unpooled.wrappedBuffer(new byte[] {'G'}));
            runTurns(1);
        }
        assertEquals(reading(), count);
        assertEquals(connections.get(0).inboundMessages().size(), 1);
    }

    @Test
    public void aConnectionThatEndsMakesRoomForAnother() {
        connect(300);
        connections.get(0).close();
        runTurns(1);
        assertEquals(reading(), SheddingGate.MAX_SILENT + 1);
    }

    /** Callers that open connections long before they use them must not keep others out. */
    @Test
    public void connectionsThatStaySilentMakeRoomAfterATime() {
        connect(SheddingGate.MAX_SILENT);
        nowMs += SheddingGate.SILENT_MS;
        connect(1);
        assertEquals(reading(), SheddingGate.MAX_SILENT + 1);
    }
}
