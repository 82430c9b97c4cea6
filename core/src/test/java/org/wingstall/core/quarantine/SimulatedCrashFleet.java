package org.wingstall.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wingstall.schema.peer.CrashNews;
import org.wingstall.schema.peer.CrashReport;

/**
 * Simulates boxes that are linked by way of hubs and exchange crash messages, with a clock that tests advance.
 *
 * <p>{@code new SimulatedCrashFleet(80, 6, Sending.BATCHED, seed).advance(100)}
 */
final class SimulatedCrashFleet {
    /** Maximum time from a message at one box to its effect at another, in ms. */
    static final long MAX_TRANSIT_MS = 5;

    /** How boxes send their reports. */
    enum Sending {
        /** Each report is sent at once on all links, and all reports in both directions of a new link. */
        FLOODED,
        /** Reports are sent when a {@link ReportOutbox} says. */
        BATCHED
    }

    private final int hubs;
    private final Sending sending;
    private final Random random;
    private final List<Box> boxes = new ArrayList<>();
    private final Map<String, Long> lastArrivalMs = new HashMap<>();
    private final Map<String, List<Long>> frameTimesMs = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private long nowMs = 1000;
    private long order;
    private int frames;
    private int reports;

    private record Event(long atMs, long order, Runnable action) {}

    /** A box of the fleet. */
    final class Box implements Quarantine.Listener {
        final int number;
        final Quarantine quarantine;
        private final ReportOutbox outbox;
        private final Set<String> links = new LinkedHashSet<>();
        private final Map<String, Long> lossHeardAtMs = new HashMap<>();
        private long timerAtMs;
        private boolean dead;

        Box(int number) {
            this.number = number;
            this.quarantine = new Quarantine(name(), () -> TimeUnit.MILLISECONDS.toNanos(nowMs), this);
            this.outbox = new ReportOutbox(
                    name(),
                    () -> TimeUnit.MILLISECONDS.toNanos(nowMs),
                    SimulatedCrashFleet.this::isHub,
                    quarantine::reports);
        }

        String name() {
            return "box-" + number;
        }

        @Override
        public void broadcast(CrashNews news, String exceptBox) {
            send(news, exceptBox, false);
        }

        @Override
        public void broadcastObserved(CrashNews news) {
            send(news, null, true);
        }

        private void send(CrashNews news, String exceptBox, boolean observedHere) {
            if (sending == Sending.BATCHED && news.getTrials().isEmpty()) {
                outbox.add(news.getReports(), exceptBox, observedHere);
                sendDue();
                return;
            }
            CrashNews sent = sending == Sending.BATCHED ? outbox.withPendingReports(news, exceptBox, links) : news;
            links.stream().filter(to -> !to.equals(exceptBox)).forEach(to -> transmit(this, to, sent));
        }

        private void sendDue() {
            if (dead) {
                return;
            }
            outbox.takeDue(links).forEach(batch -> batch.boxIds().forEach(to -> {
                if (links.contains(to)) {
                    transmit(this, to, batch.news());
                }
            }));
            outbox.dueInMs().ifPresent(dueInMs -> schedule(nowMs + Math.max(1, dueInMs)));
        }

        private void schedule(long atMs) {
            if (timerAtMs <= nowMs || timerAtMs > atMs) {
                timerAtMs = atMs;
                after(atMs - nowMs, this::sendDue);
            }
        }

        private void receive(String from, CrashNews news) {
            if (dead || !links.contains(from)) {
                return;
            }
            outbox.arrived(from, news.getReports());
            quarantine.receive(from, news);
        }

        private void linked(Box other, boolean dialed) {
            links.add(other.name());
            if (sending == Sending.FLOODED) {
                quarantine.snapshot().forEach(news -> transmit(this, other.name(), news));
            } else {
                outbox.linked(other.name(), dialed).forEach(news -> transmit(this, other.name(), news));
                sendDue();
            }
        }

        /** Returns when this box learned of the loss of an endpoint by another one, in ms; null if it has not. */
        Long lossHeardAtMs(String endpoint) {
            return lossHeardAtMs.get(endpoint);
        }

        @Override
        public void persist(CrashReport report) {}

        @Override
        public void changed(CrashReport report, int activeLosses) {}

        @Override
        public void lossReported(String endpoint) {
            lossHeardAtMs.putIfAbsent(endpoint, nowMs);
        }

        @Override
        public void lostAfterEnd(String endpoint, int requests) {}
    }

    /** Creates boxes with a link from each to each hub; the first ones are the hubs. */
    SimulatedCrashFleet(int boxCount, int hubs, Sending sending, long seed) {
        this.hubs = hubs;
        this.sending = sending;
        this.random = new Random(seed);
        for (int i = 0; i < boxCount; i++) {
            boxes.add(new Box(i));
        }
        boxes.forEach(this::link);
        advance(ReportOutbox.FORWARDING_MS + 1);
    }

    private boolean isHub(String box) {
        return Integer.parseInt(box.substring("box-".length())) < hubs;
    }

    /** Opens the links of a box that it lacks. */
    void link(Box box) {
        for (Box other : boxes) {
            boolean planned = other != box && (isHub(other.name()) || isHub(box.name()));
            if (planned && !other.dead && !box.dead && !box.links.contains(other.name())) {
                box.linked(other, true);
                other.linked(box, false);
            }
        }
    }

    /** Closes all links of a box; frames in transit are lost. */
    void cut(Box box) {
        box.links.clear();
        boxes.forEach(other -> other.links.remove(box.name()));
    }

    void kill(Box box) {
        cut(box);
        box.dead = true;
    }

    private void transmit(Box from, String to, CrashNews news) {
        String link = from.name() + ">" + to;
        frames++;
        reports += news.getReports().size();
        frameTimesMs.computeIfAbsent(link, one -> new ArrayList<>()).add(nowMs);
        long arrivalMs = Math.max(
                nowMs + 1 + random.nextInt((int) MAX_TRANSIT_MS), lastArrivalMs.getOrDefault(link, Long.MIN_VALUE));
        lastArrivalMs.put(link, arrivalMs);
        Box receiver = boxes.get(Integer.parseInt(to.substring("box-".length())));
        after(arrivalMs - nowMs, () -> receiver.receive(from.name(), news));
    }

    void after(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, order++, action));
    }

    /** Plays what happens in a time, in ms. */
    SimulatedCrashFleet advance(long durationMs) {
        long endMs = nowMs + durationMs;
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.action().run();
        }
        nowMs = endMs;
        return this;
    }

    long nowMs() {
        return nowMs;
    }

    Box box(int number) {
        return boxes.get(number);
    }

    Box anyBox() {
        return boxes.get(random.nextInt(boxes.size()));
    }

    /** Returns the boxes that have not been killed. */
    List<Box> alive() {
        return boxes.stream().filter(box -> !box.dead).toList();
    }

    int frames() {
        return frames;
    }

    /** Returns the number of reports in all frames. */
    int reports() {
        return reports;
    }

    /** Returns the most frames that were sent on one link, in one direction, within a time in ms. */
    int mostFramesOfALinkWithin(long windowMs) {
        int most = 0;
        for (List<Long> times : frameTimesMs.values()) {
            for (int first = 0, last = 0; last < times.size(); last++) {
                while (times.get(last) - times.get(first) >= windowMs) {
                    first++;
                }
                most = Math.max(most, last - first + 1);
            }
        }
        return most;
    }

    /** Returns what a box knows of all suspects, without ages and the requests, of which any two are enough. */
    static Set<CrashReport> known(Box box) {
        Set<CrashReport> known = new HashSet<>();
        for (CrashReport report : box.quarantine.reports()) {
            known.add(new CrashReport(
                    report.getFingerprint(),
                    report.getLosses().stream().sorted().toList(),
                    report.getWithdrawn().stream().sorted().toList(),
                    0,
                    report.getEra(),
                    List.of(),
                    report.getRounds()));
        }
        return known;
    }
}
