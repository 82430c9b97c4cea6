package org.wingstall.gateway.crash;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.limit.TokenBucket;
import org.wingstall.core.quarantine.Quarantine;
import org.wingstall.core.quarantine.ReportOutbox;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.log.LogEvent;
import org.wingstall.peer.NewsHost;
import org.wingstall.peer.NewsLinks;
import org.wingstall.schema.peer.CrashNews;
import org.wingstall.schema.peer.CrashReport;

/**
 * Carries what the quarantine learns to the links, to the store and to the log, and what peers tell to the quarantine.
 *
 * <p>{@code CrashReports reports = CrashReports.over("kgn-a-1", links, loop, clock, store::keep); reports.quarantine().hold(request);}
 *
 * @since 0.7
 */
public final class CrashReports implements Quarantine.Listener, NewsHost<CrashNews> {
    private static final Logger LOG = LogManager.getLogger(CrashReports.class);

    /** Lines a second about requests that are suspected only: a lost engine may leave as many as it ran at once. */
    private static final double LINES_PER_SECOND = 20;

    /** Losses from which a line is never left out. */
    private static final int ALWAYS_FROM = 2;

    private final NewsLinks<CrashNews> links;
    private final EventLoop loop;
    private final Consumer<CrashReport> keeper;
    private final TokenBucket lines;
    private final Quarantine quarantine;
    private final ReportOutbox outbox;
    private final AtomicLong sentReports = new AtomicLong();
    private final AtomicLong settledReports = new AtomicLong();
    private ScheduledFuture<?> timer;
    private volatile Consumer<String> lossListener = endpoint -> {};
    private final AtomicLong lossesAfterEnd = new AtomicLong();

    private CrashReports(
            String boxId,
            NewsLinks<CrashNews> links,
            EventLoop loop,
            MonotonicClock clock,
            Consumer<CrashReport> keeper) {
        this.links = links;
        this.loop = loop;
        this.keeper = keeper;
        this.lines = new TokenBucket(clock);
        this.quarantine = new Quarantine(boxId, clock, this);
        this.outbox = new ReportOutbox(boxId, clock, links::isHub, quarantine::reports);
    }

    /**
     * Creates a quarantine and connects it.
     *
     * @param boxId name of this box
     * @param links links to other boxes
     * @param loop the links' event loop
     * @param clock monotonic clock
     * @param keeper keeps reports where they outlive the boxes
     */
    public static CrashReports over(
            String boxId,
            NewsLinks<CrashNews> links,
            EventLoop loop,
            MonotonicClock clock,
            Consumer<CrashReport> keeper) {
        CrashReports reports = new CrashReports(boxId, links, loop, clock, keeper);
        links.attach(reports);
        return reports;
    }

    /** Sets the listener that receives the key of each endpoint that another box has lost. */
    public void setLossListener(Consumer<String> listener) {
        lossListener = listener;
    }

    /** Returns the quarantine. */
    public Quarantine quarantine() {
        return quarantine;
    }

    @Override
    public void broadcast(CrashNews news, String exceptBox) {
        onLoop(() -> send(news, exceptBox, false));
    }

    @Override
    public void broadcastObserved(CrashNews news) {
        onLoop(() -> send(news, null, true));
    }

    private void onLoop(Runnable sending) {
        if (loop.inEventLoop()) {
            sending.run();
        } else {
            loop.execute(sending);
        }
    }

    /** Trials are sent at once: two boxes must not send the same suspect. */
    private void send(CrashNews news, String exceptBox, boolean observedHere) {
        if (!news.getTrials().isEmpty()) {
            links.tell(outbox.withPendingReports(news, exceptBox, links.linkedBoxes()), exceptBox);
            return;
        }
        outbox.add(news.getReports(), exceptBox, observedHere);
        sendDue();
    }

    private void sendDue() {
        for (ReportOutbox.Batch batch : outbox.takeDue(links.linkedBoxes())) {
            links.send(batch.news(), batch.boxIds());
            sentReports.addAndGet(
                    (long) batch.news().getReports().size() * batch.boxIds().size());
        }
        scheduleNext();
    }

    /** Keeps one timer, for what is due first. */
    private void scheduleNext() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
        outbox.dueInMs().ifPresent(dueInMs -> timer = loop.schedule(this::sendDue, dueInMs, TimeUnit.MILLISECONDS));
    }

    @Override
    public void persist(CrashReport report) {
        keeper.accept(report);
    }

    @Override
    public void changed(CrashReport report, int standing) {
        if (standing >= ALWAYS_FROM || lines.tryTake(LINES_PER_SECOND)) {
            LogEvent.warn("crash-report")
                    .with("fingerprint", report.getFingerprint())
                    .with("standing", standing)
                    .with("losses", report.getLosses())
                    .with("withdrawn", report.getWithdrawn())
                    .with("ageMs", report.getAgeMs())
                    .with("era", report.getEra())
                    .with("rounds", report.getRounds())
                    .to(LOG);
        }
    }

    @Override
    public void lossReported(String endpoint) {
        lossListener.accept(endpoint);
    }

    @Override
    public void lostAfterEnd(String endpoint, int requests) {
        lossesAfterEnd.addAndGet(requests);
        if (lines.tryTake(LINES_PER_SECOND)) {
            LogEvent.info("loss-after-end")
                    .with("endpoint", endpoint)
                    .with("requests", requests)
                    .to(LOG);
        }
    }

    /** Returns the number of requests lost at endpoints that had been lost before they were sent there. */
    public long lossesAfterEnd() {
        return lossesAfterEnd.get();
    }

    @Override
    public void heard(String boxId, CrashNews news) {
        outbox.arrived(boxId, news.getReports());
        settledReports.set(outbox.settledReports());
        quarantine.receive(boxId, news);
    }

    @Override
    public List<CrashNews> known() {
        return quarantine.snapshot();
    }

    @Override
    public List<CrashNews> linked(String boxId, boolean dialedHere) {
        List<CrashNews> first = outbox.linked(boxId, dialedHere);
        first.forEach(news -> sentReports.addAndGet(news.getReports().size()));
        scheduleNext();
        return first;
    }

    /** Returns the number of reports sent to other boxes; a report to several boxes counts for each. */
    public long sentReports() {
        return sentReports.get();
    }

    /** Returns the number of reports that were not sent to a box because it had sent as much itself. */
    public long settledReports() {
        return settledReports.get();
    }
}
