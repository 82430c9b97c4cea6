package org.wingstall.relay.control;

import static org.testng.Assert.assertEquals;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.relay.wire.CrashReportStore;
import org.wingstall.schema.peer.CrashReport;

/** Tests that only boxes that get no reports from hubs make calls that wait at the store, as these are costly. */
public class CrashReportFollowerTest implements CrashReportStore {
    private static final String WHOLE = "whole";
    private static final String WAITS = "waits";

    private final List<String> calls = new CopyOnWriteArrayList<>();
    private final List<String> saves = new CopyOnWriteArrayList<>();
    private EventLoop loop;
    private volatile boolean told;

    private static CrashReport report(String fingerprint) {
        return new CrashReport(fingerprint, List.of("e1@0"), List.of(), 0, 0, List.of(), 0);
    }

    /** A store that was restored from a copy lacked the reports that this box had saved since. */
    @Test
    public void reportsThatThisBoxSavedAreSavedAgainAfterARestore() throws Exception {
        CrashReportFollower follower = new CrashReportFollower(loop, this, read -> {}, () -> told);
        follower.save(report("own"));
        Awaitility.await().until(() -> saves.equals(List.of("own")));
        loop.submit(() -> {}).sync();
        follower.saveAgain(List.of(report("own"), report("of-another-box")));
        Awaitility.await().until(() -> saves.size() == 2);
        loop.submit(() -> {}).sync();
        assertEquals(saves, List.of("own", "own"));
    }

    @BeforeMethod
    public void create() {
        calls.clear();
        saves.clear();
        loop = new DefaultEventLoop();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        loop.shutdownGracefully();
    }

    @Override
    public CompletableFuture<Void> save(CrashReport report) {
        saves.add(report.getFingerprint());
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> delete(String fingerprint) {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<List<CrashReport>> next(boolean whole) {
        calls.add(whole ? WHOLE : WAITS);
        return whole ? CompletableFuture.completedFuture(List.of()) : new CompletableFuture<>();
    }

    private void follow() {
        new CrashReportFollower(loop, this, report -> {}, () -> told).start();
    }

    @Test
    public void aBoxThatHubsTellReadsOnceAndWaitsForNothing() throws Exception {
        told = true;
        follow();
        Awaitility.await().until(() -> !calls.isEmpty());
        loop.submit(() -> {}).sync();
        assertEquals(calls, List.of(WHOLE));
    }

    /** Reports saved in the meantime may have been missed, so a full read comes before the next wait. */
    @Test
    public void aBoxThatNoHubTellsAnyMoreReadsAgainAndWaits() {
        told = true;
        follow();
        Awaitility.await().until(() -> !calls.isEmpty());
        told = false;
        Awaitility.await().until(() -> calls.size() == 3);
        assertEquals(calls, List.of(WHOLE, WHOLE, WAITS));
    }

    @Test
    public void aBoxWithoutHubsWaitsForChangesFromTheStart() {
        told = false;
        follow();
        Awaitility.await().until(() -> calls.size() == 2);
        assertEquals(calls, List.of(WHOLE, WAITS));
    }
}
