import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/** A worker that keeps its entry in the store: of a stage, of a model or of a plain service. */
abstract class Worker implements AutoCloseable {
    static final long HEARTBEAT_MS = 1200;

    final String id;
    final String service;
    final String zone;
    final Record record;
    final Http.Server server;
    private final Store store;
    private final int slots;
    private final AtomicInteger sequence = new AtomicInteger();
    private volatile boolean listed = true;

    Worker(String id, String service, String zone, String ip, int slots, Store store, Record record)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.slots = slots;
        this.record = record;
        this.server = new Http.Server(ip, this::handle);
    }

    void list() {
        beat();
        Http.daemon(() -> {
            try {
                while (true) {
                    Thread.sleep(HEARTBEAT_MS);
                    if (listed) {
                        beat();
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void beat() {
        store.put(
                "servers",
                id,
                "{\"service\":\"" + service + "\",\"address\":\"" + server.address() + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"cold_left_ms\":0,"
                        + "\"sequence\":" + sequence.incrementAndGet() + "}");
    }

    private void handle(Http.Message request, Http.Link link) throws IOException, InterruptedException {
        String expected = request.header("X-Wingstall-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            link.respond(421, Map.of("X-Wingstall-Instance-Id", id), "");
            return;
        }
        if (request.target().startsWith("/healthz")) {
            link.respond(200, Map.of("X-Wingstall-Instance-Id", id), "");
        } else {
            serve(request, link);
        }
    }

    /** What a faulty worker does with the answers to calls for pieces. */
    interface Spoiler {
        /** A call came on a connection. */
        default void called(Http.Link link) throws IOException {}

        /** An answer went out on a connection; without bytes if it can't come again. */
        default void answered(Http.Link link, byte[] answer) throws IOException {}
    }

    abstract void serve(Http.Message request, Http.Link link) throws IOException, InterruptedException;

    /** Headers of an answer: it carries back the attempt of the request, if the request named one. */
    Map<String, String> headers(Http.Message request) {
        Map<String, String> headers = new LinkedHashMap<>();
        String attempt = request.header("X-Wingstall-Attempt-Id");
        if (attempt != null) {
            headers.put("X-Wingstall-Attempt-Id", attempt);
        }
        return headers;
    }

    @Override
    public void close() {
        listed = false;
        server.close();
    }

    /** The results that all workers of stages hold, by handle. */
    static final class Results {
        /** The piece that a result was made for. */
        record Made(String request, long phase, long piece) {}

        private final Map<String, Made> made = new ConcurrentHashMap<>();
        private final Set<String> gone = ConcurrentHashMap.newKeySet();

        Made of(String handle) {
            return made.get(handle);
        }

        boolean held(String handle) {
            return made.containsKey(handle) && !gone.contains(handle);
        }
    }

    /** A worker of a stage: one call at work, a few that wait, and results that last some seconds. */
    static final class OfStage extends Worker {
        private static final AtomicLong HANDLES = new AtomicLong(0x5c1e07a2e440L);

        private final Results results;
        private final Semaphore work = new Semaphore(1, true);
        private final AtomicInteger present = new AtomicInteger();
        private volatile Spoiler spoiler = new Spoiler() {};

        OfStage(String id, String zone, String ip, Results results, Store store, Record record) throws IOException {
            super(id, Sheet.STAGE, zone, ip, 1, store, record);
            this.results = results;
        }

        /** Lets the worker spoil some of its answers. */
        void spoil(Spoiler next) {
            spoiler = next;
        }

        @Override
        void serve(Http.Message request, Http.Link link) throws IOException, InterruptedException {
            String path = request.target();
            if (path.equals("/v1/stage-run")) {
                run(request, link);
            } else if (path.equals("/v1/stage-free")) {
                for (Object handle : Json.list(Json.object(Json.read(request.text())).get("kv_handles"))) {
                    results.gone.add(Json.text(handle));
                }
                link.respond(200, headers(request), "");
            } else {
                int here = present.get();
                link.respond(
                        200,
                        Map.of("Content-Type", "application/json"),
                        "{\"queued\":" + Math.max(0, here - 1) + ",\"utilization\":" + (here > 0)
                                + ",\"free_mb\":34.0}");
            }
        }

        private String load() {
            int here = present.get();
            return Math.min(1, here) + "," + Math.max(0, here - 1) + ",1";
        }

        private void run(Http.Message request, Http.Link link) throws IOException, InterruptedException {
            spoiler.called(link);
            Map<String, String> headers = headers(request);
            headers.put("Content-Type", "application/json");
            if (present.incrementAndGet() > 1 + Sheet.QUEUE) {
                present.decrementAndGet();
                headers.put("X-Wingstall-Not-Executed", "1");
                headers.put("X-Wingstall-Instance-Load", load());
                link.respond(503, headers, "{}");
                return;
            }
            List<Object> items = Json.list(Json.object(Json.read(request.text())).get("items"));
            List<String> answers = new ArrayList<>();
            work.acquire();
            try {
                record.note(id + " works on " + items.size() + " pieces of " + requestsOf(items));
                Thread.sleep(Math.round(Sheet.CALL_MS + items.size() * Sheet.ITEM_MS));
                for (Object item : items) {
                    answers.add(make(Json.object(item)));
                }
            } finally {
                present.decrementAndGet();
                work.release();
            }
            headers.put("X-Wingstall-Instance-Load", load());
            record.note(id + " answers " + answers);
            byte[] answer = Http.encode(200, headers, "{\"items\":[" + String.join(",", answers) + "]}");
            link.write(answer);
            spoiler.answered(link, answer);
        }

        private static List<String> requestsOf(List<Object> items) {
            return items.stream()
                    .map(item -> Json.text(Json.object(item).get("id")) + "/"
                            + Json.number(Json.object(item).get("piece")))
                    .toList();
        }

        private String make(Map<String, Object> item) {
            for (Object input : Json.list(item.get("inputs"))) {
                if (!results.held(Json.text(input))) {
                    return "{\"reason\":\"gone\"}";
                }
            }
            String handle = server.address() + "/" + Long.toHexString(HANDLES.incrementAndGet());
            results.made.put(
                    handle,
                    new Results.Made(
                            Json.text(item.get("id")), Json.number(item.get("phase")), Json.number(item.get("piece"))));
            Http.daemon(() -> {
                try {
                    Thread.sleep(Sheet.KEPT_MS);
                    results.gone.add(handle);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            return "{\"kv_handle\":\"" + handle + "\"}";
        }
    }

    /**
     * A model worker: it reads the inputs of a request, then its prompt, and streams. It drops a request whose connection
     * closes. It records inputs that are another request's, and requests that go on at two workers.
     */
    static final class OfModel extends Worker {
        private static final int EVENTS = 24;
        private static final int EVENT_MS = 17;
        private static final double TOKENS_PER_MS = 61.2;
        private static final long LOOK_MS = 10;

        private final Results results;
        private final Runs runs;
        private volatile Spoiler spoiler = new Spoiler() {};
        private volatile BooleanSupplier sheds = () -> false;

        OfModel(String id, String zone, String ip, Results results, Runs runs, Store store, Record record)
                throws IOException {
            super(id, Sheet.MODEL, zone, ip, 64, store, record);
            this.results = results;
            this.runs = runs;
        }

        /** Lets the worker spoil some of its answers. */
        void spoil(Spoiler next) {
            spoiler = next;
        }

        /** Lets the worker turn some requests away unrun. */
        void shed(BooleanSupplier next) {
            sheds = next;
        }

        @Override
        void serve(Http.Message request, Http.Link link) throws IOException, InterruptedException {
            if (request.target().equals("/v1/report")) {
                link.respond(
                        200,
                        Map.of("Content-Type", "application/json"),
                        "{\"phase\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                                + "\"utilization\":false,\"sequence\":1,\"queued\":0,\"active\":1,\"kv_used\":0,"
                                + "\"kv_total\":614608,\"kv_handles\":0}");
                return;
            }
            spoiler.called(link);
            if (sheds.getAsBoolean()) {
                turnAway(request, link, 503);
                return;
            }
            String given = request.header("X-Wingstall-Inputs");
            String[] inputs = given == null ? new String[0] : given.split(",");
            for (String input : inputs) {
                if (!results.held(input)) {
                    turnAway(request, link, 409);
                    return;
                }
            }
            String attempt = request.header("X-Wingstall-Attempt-Id");
            record.note(id + " runs " + attempt + " with " + List.of(inputs));
            for (String input : inputs) {
                Results.Made made = results.of(input);
                if (!made.request().equals(attempt)) {
                    record.broken("MIXED: " + id + " runs request " + attempt + " with the input " + input
                            + ", which was made for request " + made.request() + ", stage " + made.phase()
                            + ", piece " + made.piece());
                }
            }
            Runs.Run run = runs.begin(attempt, id);
            try {
                stream(request, link, attempt);
            } finally {
                runs.end(run, record);
            }
        }

        private void turnAway(Http.Message request, Http.Link link, int status) throws IOException {
            Map<String, String> headers = headers(request);
            headers.put("X-Wingstall-Not-Executed", "1");
            record.note(id + " turns " + request.header("X-Wingstall-Attempt-Id") + " away with " + status);
            byte[] answer = Http.encode(status, headers, "");
            link.write(answer);
            spoiler.answered(link, answer);
        }

        private void stream(Http.Message request, Http.Link link, String attempt)
                throws IOException, InterruptedException {
            work(link, Math.round(Integer.parseInt(request.header("X-Wingstall-Token-Count").split(",")[0])
                    / TOKENS_PER_MS));
            Map<String, String> headers = headers(request);
            headers.put("X-Wingstall-Response-Seal", "3e1b." + id);
            headers.put("Content-Type", "text/event-stream");
            headers.put("Transfer-Encoding", "chunked");
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            link.write(head + "\r\n");
            String resumed = request.header("Last-Event-Id");
            for (int event = resumed == null ? 1 : Integer.parseInt(resumed) + 1; event <= EVENTS; event++) {
                String text = "id: " + event + "\ndata: " + attempt + "." + event + "\n\n";
                link.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                work(link, EVENT_MS);
            }
            link.write("0\r\n\r\n");
            spoiler.answered(link, new byte[0]);
        }

        /** Works for a time, and drops the request at once if its connection closes. */
        private static void work(Http.Link link, long ms) throws IOException, InterruptedException {
            long untilNs = System.nanoTime() + ms * 1_000_000;
            while (System.nanoTime() < untilNs) {
                if (link.closedByPeer()) {
                    throw new IOException("the connection closed under a request");
                }
                Thread.sleep(Math.min(LOOK_MS, Math.max(1, (untilNs - System.nanoTime()) / 1_000_000)));
            }
        }
    }

    /** The runs of requests at model workers. */
    static final class Runs {
        /** A worker still at work so long after the request went on at another breaks the rule. */
        private static final long ALLOWED_MS = 400;

        private final List<Run> all = new ArrayList<>();

        /** One run. */
        static final class Run {
            private final String request;
            private final String worker;
            private final long fromNs = System.nanoTime();
            private long untilNs = Long.MAX_VALUE;

            Run(String request, String worker) {
                this.request = request;
                this.worker = worker;
            }
        }

        synchronized Run begin(String request, String worker) {
            Run run = new Run(request, worker);
            all.add(run);
            return run;
        }

        synchronized void end(Run run, Record record) {
            run.untilNs = System.nanoTime();
            for (Run next : all) {
                long overlapMs = (run.untilNs - next.fromNs) / 1_000_000;
                boolean later = next != run && next.request.equals(run.request) && next.fromNs > run.fromNs;
                if (later && overlapMs > ALLOWED_MS) {
                    record.broken("TWICE: request " + run.request + " went on at " + next.worker + " while " + run.worker
                            + " still worked on it " + overlapMs + " ms later");
                }
            }
        }
    }
}
