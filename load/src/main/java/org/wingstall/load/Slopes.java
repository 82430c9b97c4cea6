package org.wingstall.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.wingstall.core.answer.RefusedException;
import org.wingstall.core.answer.RetryAfter;
import org.wingstall.core.config.ConfigStore;
import org.wingstall.core.limit.WorkspaceLimiter;
import org.wingstall.core.member.EndpointRegistry;
import org.wingstall.core.route.Candidate;
import org.wingstall.core.route.EndpointState;
import org.wingstall.core.route.PromptBlocks;
import org.wingstall.core.route.RouteRequest;
import org.wingstall.core.route.Router;
import org.wingstall.core.route.Routers;
import org.wingstall.net.frame.FrameCodec;
import org.wingstall.net.frame.MessagePack;
import org.wingstall.peer.Frames;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.peer.ConfigReply;
import org.wingstall.schema.peer.DomainSummary;
import org.wingstall.schema.peer.Heartbeat;
import org.wingstall.schema.peer.PeerFrame;
import org.wingstall.schema.peer.WorkspaceDemand;
import org.wingstall.schema.platform.Member;
import org.wingstall.schema.platform.MemberList;
import org.wingstall.schema.settings.Policy;
import org.wingstall.schema.table.ConfigCell;
import org.wingstall.schema.table.ConfigChange;
import org.wingstall.schema.table.WorkspaceRow;

/** Measures the gateway's state at growing sizes, so that the capacity page rests on slopes. */
final class Slopes {
    private static final int ROUNDS = 200;
    private static final double NS_PER_MICROSECOND = 1000;

    private Slopes() {}

    static void print(PrintStream out) {
        configuration(out);
        endpoints(out);
        heartbeats(out);
        routing(out);
        limits(out);
        prefixes(out);
    }

    /** Every endpoint remembers prompt blocks until its memory is full. */
    private static void prefixes(PrintStream out) {
        out.println("prompt blocks remembered: engines, heap bytes with full memories");
        for (int count : new int[] {4, 16, 64}) {
            EndpointRegistry registry = new EndpointRegistry(System::nanoTime);
            registry.applyList(members(count));
            long before = usedBytes();
            for (EndpointState state : registry.all()) {
                for (int prompt = 0; prompt < 64; prompt++) {
                    state.prefixes().recordSent(PromptBlocks.digests(("prompt " + prompt + " ").repeat(2000)));
                }
            }
            long heap = usedBytes() - before;
            out.printf("  %4d %10d%n", registry.all().size(), heap);
        }
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** Returns the mean time of an action after as many rounds of warm-up, in us. */
    private static double meanMicros(int rounds, Runnable action) {
        for (int i = 0; i < rounds; i++) {
            action.run();
        }
        long beganNs = System.nanoTime();
        for (int i = 0; i < rounds; i++) {
            action.run();
        }
        return (System.nanoTime() - beganNs) / NS_PER_MICROSECOND / rounds;
    }

    private static ConfigCell workspace(int number, double weight) {
        JsonNode row = Json.MAPPER
                .createObjectNode()
                .put("name", "workspace-" + number)
                .put("weight", weight)
                .put("requestsPerSecond", 50);
        return new ConfigCell("workspace/workspace-" + number, row);
    }

    private static void configuration(PrintStream out) {
        out.println("configuration: workspaces, heap bytes, us to apply an edit of one row, bytes of a whole reply");
        for (int count : new int[] {1000, 4000, 14_000}) {
            long before = usedBytes();
            ConfigStore store = new ConfigStore(failure -> out.println(failure.getMessage()));
            List<ConfigCell> cells = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                cells.add(workspace(i, 1));
            }
            store.offerComplete(1, cells);
            cells.clear();
            long heap = usedBytes() - before;
            double editMicros = meanMicros(ROUNDS, () -> {
                long next = store.current().revision() + 1;
                store.offerDelta(
                        List.of(new ConfigChange(next, "edit-" + next, "ann", 0, List.of(workspace(7, next % 9 + 1)))));
            });
            int bytes =
                    MessagePack.write(new ConfigReply(1, true, store.current().cells(), List.of(), "")).length;
            out.printf("  %6d %10d %8.0f %9d%n", count, heap, editMicros, bytes);
        }
    }

    private static List<Member> members(int count) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(new Member(
                    "endpoint-" + i,
                    Member.Kind.ENDPOINT,
                    "domain-" + i % 18,
                    "10.0." + i / 250 + "." + i % 250 + ":8000",
                    "service-" + i % 13,
                    "new",
                    Member.State.LIVE,
                    1,
                    0,
                    0));
        }
        return members;
    }

    private static void endpoints(PrintStream out) {
        out.println("endpoints: count, heap bytes, us to apply a list, bytes of the list, us to read it");
        for (int count : new int[] {160, 700, 2800}) {
            long before = usedBytes();
            EndpointRegistry registry = new EndpointRegistry(System::nanoTime);
            List<Member> list = members(count);
            registry.applyList(list);
            long heap = usedBytes() - before;
            double applyMicros = meanMicros(ROUNDS, () -> registry.applyList(list));
            byte[] json = Json.write(new MemberList(list));
            double readMicros = meanMicros(ROUNDS, () -> {
                try {
                    Json.read(json, MemberList.class);
                } catch (InvalidDocumentException e) {
                    throw new AssertionError(e);
                }
            });
            out.printf("  %6d %10d %8.0f %9d %8.0f%n", count, heap, applyMicros, json.length, readMicros);
        }
    }

    private static void heartbeats(PrintStream out) {
        out.println("heartbeats: limited workspaces told, domains told, frame bytes, us to write and read");
        for (int[] size : new int[][] {{0, 0}, {4, 0}, {8, 0}, {0, 2}, {8, 2}, {8, 17}}) {
            List<WorkspaceDemand> demand = new ArrayList<>();
            for (int i = 0; i < size[0]; i++) {
                demand.add(new WorkspaceDemand("workspace-" + 1000 * i, 12.5));
            }
            List<DomainSummary> domains = new ArrayList<>();
            for (int i = 0; i < size[1]; i++) {
                domains.add(new DomainSummary("domain-" + i, 123_456, 21, 900, demand));
            }
            byte[] frame = MessagePack.write(Frames.heartbeat(
                    new Heartbeat(123_456, false, List.of(), demand, domains, false, 0, 0, 0, null, 0, 0, null, 0)));
            byte[] bytes = frame;
            double micros = meanMicros(ROUNDS * 10, () -> {
                try {
                    MessagePack.read(MessagePack.write(frame), PeerFrame.class);
                } catch (InvalidDocumentException e) {
                    throw new AssertionError(e);
                }
            });
            out.printf("  %3d %3d %6d %8.1f%n", size[0], size[1], bytes.length + FrameCodec.LENGTH_BYTES, micros);
        }
    }

    private static void routing(PrintStream out) {
        out.println("routing: candidates, us to choose without and with a prompt of 64 blocks");
        Policy policy = new Policy();
        Router router = Routers.of(policy, new Random(1));
        long[] digests = PromptBlocks.digests("prompt of a session ".repeat(1000));
        for (int count : new int[] {4, 16, 64, 155}) {
            EndpointRegistry registry = new EndpointRegistry(System::nanoTime);
            registry.applyList(members(count * 13));
            List<EndpointState> states = registry.endpointsOf("service-0");
            List<Candidate> candidates =
                    states.stream().map(state -> new Candidate(state, 8, 8, 1)).toList();
            states.forEach(state -> state.prefixes().recordSent(digests));
            RouteRequest plain = new RouteRequest("domain-0", 50, new long[0]);
            RouteRequest prompted = new RouteRequest("domain-0", 50, digests);
            double without = meanMicros(ROUNDS * 20, () -> router.choose(candidates, plain));
            double with = meanMicros(ROUNDS * 5, () -> router.choose(candidates, prompted));
            out.printf("  %4d %8.1f %8.1f%n", count, without, with);
        }
    }

    private static void limits(PrintStream out) {
        out.println("limits: workspaces that were active, heap bytes, us to admit");
        for (int count : new int[] {1000, 4000, 14_000}) {
            long before = usedBytes();
            WorkspaceLimiter limiter = new WorkspaceLimiter(System::nanoTime, new RetryAfter(() -> 0.5));
            for (int i = 0; i < count; i++) {
                admit(limiter, new WorkspaceRow("workspace-" + i, 1, 1000));
            }
            long heap = usedBytes() - before;
            WorkspaceRow row = new WorkspaceRow("workspace-1", 1, 100_000);
            double micros = meanMicros(ROUNDS * 50, () -> admit(limiter, row));
            out.printf("  %6d %10d %8.2f%n", count, heap, micros);
        }
    }

    private static void admit(WorkspaceLimiter limiter, WorkspaceRow row) {
        try {
            limiter.admit(row);
        } catch (RefusedException e) {
            // A refusal costs what an acceptance costs; only the time matters here.
            return;
        }
    }
}
